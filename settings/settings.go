package settings

import (
	"fmt"
	"strconv"
	"time"

	"github.com/savoryshift/savoryshift/tree"
)

// AcceptInsecure is the value that Settings.InsecureBeyondLoopback must have to allow
// a listener without TLS at an address that is not loopback.
const AcceptInsecure = "I accept unencrypted traffic"

// Settings is the content of the daemon's settings file.
type Settings struct {
	// VM is the id of this VM in the platform's list of VMs. Required.
	VM string `json:"vm"`
	// AvailabilityZone is the zone of this VM. Required.
	AvailabilityZone string `json:"availability_zone"`
	// Region is the region of the zone. Required.
	Region string `json:"region"`
	// Listen holds the addresses of the listeners.
	Listen Listen `json:"listen"`
	// AdvertisedPeerAddress is the IP address and port at which other daemons
	// reach the peer listener. Default: the address of the peer listener,
	// which must then name an IP address.
	AdvertisedPeerAddress string `json:"advertised_peer_address,omitempty"`
	// SeedPeers are the daemons to contact first, one or two of each zone. The
	// others are found through the platform.
	SeedPeers []SeedPeer `json:"seed_peers,omitempty"`
	// PlatformURL is the base URL of the platform. Required.
	PlatformURL string `json:"platform_url"`
	// TLS holds the certificate files of the listeners.
	TLS TLS `json:"tls"`
	// InsecureBeyondLoopback must be "I accept unencrypted traffic" to allow a
	// listener without TLS at an address that is not loopback.
	InsecureBeyondLoopback string `json:"insecure_beyond_loopback,omitempty"`
	// ClusterToken is the shared secret between daemons, 16 to 256 characters.
	// Required unless peers use mutual TLS.
	ClusterToken string `json:"cluster_token,omitempty"`
	// OperatorTokens lists the tokens that give access to the operator API.
	OperatorTokens []OperatorToken `json:"operator_tokens,omitempty"`
	// SessionKeys is the key ring of session tokens: the first key signs, all
	// keys verify. At least one is required.
	SessionKeys []SessionKey `json:"session_keys"`
	// Bounds holds the limits on memory and waiting times.
	Bounds Bounds `json:"bounds"`
	// Periods holds the evidence lease and the periods of background tasks.
	Periods Periods `json:"periods"`
}

// LongestStop returns the time from the start of a planned stop until requests that
// still run are ended.
func (s Settings) LongestStop() time.Duration {
	return s.Periods.ReadinessDelayMs.Duration() + s.Bounds.DrainTimeoutMs.Duration()
}

// Warnings lists the values that are allowed and have a drawback.
func (s Settings) Warnings() []Problem {
	if s.LongestStop() >= tree.MaxDeadline {
		return nil
	}
	advised := tree.MaxDeadline - s.Periods.ReadinessDelayMs.Duration()
	return []Problem{{
		Path: "/bounds/drain_timeout_ms", Value: strconv.FormatInt(int64(s.Bounds.DrainTimeoutMs), 10),
		Allowed: fmt.Sprintf("at least %d, or callers and the settings tree use deadlines of at most %s: with the readiness delay that is the "+
			"length of a planned stop, in which requests with a longer deadline are refused, and ended if they began before it",
			advised.Milliseconds(), s.LongestStop()),
	}}
}

// SeedPeer identifies another daemon and gives its address.
type SeedPeer struct {
	// VM is the id of the VM that the other daemon runs on. Required.
	VM string `json:"vm"`
	// AvailabilityZone is the zone of that VM. Required.
	AvailabilityZone string `json:"availability_zone"`
	// Address is the IP address and port of the other daemon's peer listener. Required.
	Address string `json:"address"`
}

// Listen holds one IP address and port per listener.
type Listen struct {
	// Callers is the address of the listener for callers. Required.
	Callers string `json:"callers"`
	// Operators is the address of the listener for operators and probes. Required.
	Operators string `json:"operators"`
	// Peers is the address of the listener for other daemons. Required.
	Peers string `json:"peers"`
}

// TLS holds the certificate files per listener. A listener without files is
// unencrypted.
type TLS struct {
	// Callers holds the files of the listener for callers.
	Callers TLSFiles `json:"callers"`
	// Operators holds the files of the listener for operators.
	Operators TLSFiles `json:"operators"`
	// Peers holds the files of mutual TLS between daemons; ca_file is required if
	// cert_file and key_file are set.
	Peers TLSFiles `json:"peers"`
}

// TLSFiles holds the names of PEM files. Either both or neither of cert_file and
// key_file must be set.
type TLSFiles struct {
	// CertFile is the file with the certificate chain.
	CertFile string `json:"cert_file,omitempty"`
	// KeyFile is the file with the private key.
	KeyFile string `json:"key_file,omitempty"`
	// CAFile is the file with the certificates of the certificate authorities. When
	// it is set, the other side must present a certificate signed by one of them.
	CAFile string `json:"ca_file,omitempty"`
}

// Role determines which requests an operator token allows.
type Role string

// Roles of operators.
const (
	Viewer Role = "viewer"
	Editor Role = "editor"
)

// OperatorToken gives one operator access to the operator API.
type OperatorToken struct {
	// Name is recorded as the author of changes; 1 to 64 characters, unique.
	Name string `json:"name"`
	// SHA256 is the SHA-256 digest of the token in lower-case hex, unique.
	SHA256 string `json:"sha256"`
	// Role is viewer (reads) or editor (reads and changes).
	Role Role `json:"role"`
}

// SessionKey is a key that signs and verifies session tokens.
type SessionKey struct {
	// ID identifies the key in the tokens; 1 to 16 letters or digits, unique.
	ID string `json:"id"`
	// SecretBase64 is the secret in standard base64, at least 32 bytes.
	SecretBase64 string `json:"secret_base64"`
}

// Bounds holds the limits on memory and waiting times.
type Bounds struct {
	// BodyBytes limits the body of a request and of a stored or rated answer.
	BodyBytes int64 `json:"body_bytes" default:"4194304" min:"1024" max:"67108864" unit:"bytes"`
	// MachineMemoryBytes is the memory that the process may use. Of it, 0.35 are for callers:
	// connections, headers, bodies and responses that they have not taken; 0.12, at most
	// 24 MiB, for responses that are read; 0.05 for operators and probes. Default: the memory
	// of the machine.
	MachineMemoryBytes int64 `json:"machine_memory_bytes" default:"0" min:"0" max:"1099511627776" unit:"bytes"`
	// Descriptors is the number of descriptors that the process may have open. Without 200 for
	// files, 3/4 of them are for callers with the calls of their requests, 1/16 for operators
	// and probes, and 1/8 for connections of other daemons. Default: the limit of the process.
	Descriptors int64 `json:"descriptors" default:"0" min:"0" max:"1048576" unit:"descriptors"`
	// HeaderBytes limits the headers of a request.
	HeaderBytes int64 `json:"header_bytes" default:"65536" min:"4096" max:"1048576" unit:"bytes"`
	// HeaderReadTimeoutMs limits the time for reading the headers of a request.
	HeaderReadTimeoutMs Milliseconds `json:"header_read_timeout_ms" default:"5000" min:"100" max:"60000" unit:"ms"`
	// BodyReadTimeoutMs limits the time for reading the body of a request.
	BodyReadTimeoutMs Milliseconds `json:"body_read_timeout_ms" default:"30000" min:"100" max:"600000" unit:"ms"`
	// StreamIdleTimeoutMs is the time without a part of a stream after which
	// another upstream is asked to continue it.
	StreamIdleTimeoutMs Milliseconds `json:"stream_idle_timeout_ms" default:"30000" min:"1000" max:"600000" unit:"ms"`
	// OutcomeBytes limits the header and the body of the stored outcome of a call
	// that runs at most once.
	OutcomeBytes int64 `json:"outcome_bytes" default:"65536" min:"0" max:"1048576" unit:"bytes"`
	// LedgerBytes limits the memory for billing entries; new requests are refused
	// when the limit is reached.
	LedgerBytes int64 `json:"ledger_bytes" default:"67108864" min:"1048576" max:"1073741824" unit:"bytes"`
	// ConcurrentRequests limits the number of requests in flight.
	ConcurrentRequests int64 `json:"concurrent_requests" default:"20000" min:"1" max:"1000000" unit:"requests"`
	// DrainTimeoutMs limits how long a planned stop waits for requests in flight
	// after the readiness delay; what still runs then is ended with an error answer.
	// It should be at least the longest deadline, because a stopping daemon refuses
	// requests that may outlast the stop.
	DrainTimeoutMs Milliseconds `json:"drain_timeout_ms" default:"600000" min:"1000" max:"3600000" unit:"ms"`
}

// Periods holds the evidence lease and the periods of background tasks. All
// daemons of a deployment must use the same values.
type Periods struct {
	// EvidenceLeaseMs is the maximum age of a daemon's evidence that its
	// configuration is current; with older evidence the daemon is isolated. At
	// least twice the sum of head_read_ms and peer_pull_ms.
	EvidenceLeaseMs Milliseconds `json:"evidence_lease_ms" default:"4000" min:"1000" max:"60000" unit:"ms"`
	// HeadReadMs is the period at which the delegates of a zone read the head of
	// the change log.
	HeadReadMs Milliseconds `json:"head_read_ms" default:"500" min:"50" max:"10000" unit:"ms"`
	// PeerPullMs is the period at which a daemon pulls changes and evidence from
	// its peers.
	PeerPullMs Milliseconds `json:"peer_pull_ms" default:"1000" min:"50" max:"10000" unit:"ms"`
	// TickMs is the period of the control loop.
	TickMs Milliseconds `json:"tick_ms" default:"100" min:"10" max:"1000" unit:"ms"`
	// ClaimGroupMs is the time for which claims are batched into one transaction.
	ClaimGroupMs Milliseconds `json:"claim_group_ms" default:"5" min:"0" max:"100" unit:"ms"`
	// LedgerFlushMs is the period at which billing entries are flushed.
	LedgerFlushMs Milliseconds `json:"ledger_flush_ms" default:"5000" min:"100" max:"60000" unit:"ms"`
	// ReadinessDelayMs is the time for which a stopping daemon still accepts
	// requests after its readiness probe fails, so that the load balancer can
	// notice.
	ReadinessDelayMs Milliseconds `json:"readiness_delay_ms" default:"3000" min:"0" max:"60000" unit:"ms"`
	// VMListMs is the period at which the platform's list of VMs is read.
	VMListMs Milliseconds `json:"vm_list_ms" default:"2000" min:"100" max:"60000" unit:"ms"`
}

// Milliseconds is a duration in milliseconds.
type Milliseconds int64

// Duration returns m as a time.Duration.
func (m Milliseconds) Duration() time.Duration { return time.Duration(m) * time.Millisecond }
