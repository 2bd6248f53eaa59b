package clientlimit

import (
	"math"

	"golang.org/x/sys/unix"
)

const (
	// fileDescriptors is the number of descriptors that are kept for files. A process with few
	// descriptors keeps half of them.
	fileDescriptors = 200
	// mostDescriptors stands for a process without a limit.
	mostDescriptors = 1 << 20
)

// SocketDescriptors returns the number of descriptors for connections of a process that may
// have a stated number of them; 0 stands for the limit of the process.
func SocketDescriptors(stated int) int {
	if stated == 0 {
		var limit unix.Rlimit
		if err := unix.Getrlimit(unix.RLIMIT_NOFILE, &limit); err != nil {
			return mostDescriptors
		}
		stated = int(min(limit.Cur, mostDescriptors))
	}
	return max(stated-fileDescriptors, stated/2)
}

// MachineMemory returns the memory of a machine that has a stated number of bytes; 0 stands for
// the memory that the kernel reports.
func MachineMemory(stated int64) int64 {
	if stated > 0 {
		return stated
	}
	var info unix.Sysinfo_t
	if err := unix.Sysinfo(&info); err != nil {
		return math.MaxInt64
	}
	return int64(min(uint64(info.Totalram)*uint64(info.Unit), math.MaxInt64))
}
