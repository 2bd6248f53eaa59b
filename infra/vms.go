package infra

import (
	"encoding/json"
	"errors"
	"slices"
)

var errNoArray = errors.New("no JSON array")

// decodeVMs decodes a list of VMs. If one entry is malformed, for example nested
// deeper than encoding/json allows, the others are still returned, and complete is
// false.
func decodeVMs(data []byte) (vms []VM, complete bool, err error) {
	if json.Unmarshal(data, &vms) == nil && !slices.ContainsFunc(vms, func(vm VM) bool { return vm.ID == "" }) {
		return vms, true, nil
	}
	entries, err := splitArray(data)
	if err != nil {
		return nil, false, err
	}
	vms = nil
	for _, entry := range entries {
		var vm VM
		if json.Unmarshal(entry, &vm) == nil && vm.ID != "" {
			vms = append(vms, vm)
		}
	}
	return vms, false, nil
}

// withMissing adds the VMs of an earlier list that a list with malformed entries
// lacks, because one of these entries can belong to them.
func withMissing(vms, earlier []VM) []VM {
	known := make(map[string]bool, len(vms))
	for _, vm := range vms {
		known[vm.ID] = true
	}
	for _, vm := range earlier {
		if !known[vm.ID] {
			vms = append(vms, vm)
		}
	}
	return vms
}

// splitArray returns the elements of a JSON array without checking them.
func splitArray(data []byte) ([][]byte, error) {
	var elements [][]byte
	depth, start, inString := 0, 0, false
	for i := 0; i < len(data); i++ {
		c := data[i]
		switch {
		case inString && c == '\\':
			i++
		case c == '"':
			inString = !inString
		case inString:
		case c == '[' || c == '{':
			if depth++; depth == 1 {
				start = i + 1
			}
		case (c == ',' || c == ']') && depth == 1:
			elements, start = append(elements, data[start:i]), i+1
			if c == ']' {
				return elements, nil
			}
		case c == ']' || c == '}':
			depth--
		}
	}
	return nil, errNoArray
}
