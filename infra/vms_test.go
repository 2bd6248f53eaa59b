package infra_test

import (
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/savoryshift/savoryshift/infra"
	"github.com/savoryshift/savoryshift/infra/standin"
)

// handlerTransport is a transport that calls a handler and counts the bytes of
// the reply bodies.
type handlerTransport struct {
	handler http.Handler
	bytes   int
	// dropETags removes the entity tags, to simulate a platform that sends none.
	dropETags bool
}

func (d *handlerTransport) RoundTrip(r *http.Request) (*http.Response, error) {
	w := httptest.NewRecorder()
	d.handler.ServeHTTP(w, r)
	d.bytes += w.Body.Len()
	reply := w.Result()
	if d.dropETags {
		reply.Header.Del("ETag")
	}
	return reply, nil
}

func makeVMs(n int, state infra.VMState) []infra.VM {
	vms := make([]infra.VM, n)
	for i := range vms {
		vms[i] = infra.VM{ID: fmt.Sprintf("vm%04d", i), AvailabilityZone: fmt.Sprint("zone-", i%15), Kind: infra.UpstreamVM, State: state}
	}
	return vms
}

// Guards against transferring an unchanged list of thousands of VMs at each read,
// and against a cached list that hides a change. Without entity tags each read
// must transfer the list.
func TestVMsAreTransferredWhenChanged(t *testing.T) {
	for _, dropETags := range []bool{false, true} {
		server := standin.New(standin.Options{VMListLag: time.Nanosecond})
		d := &handlerTransport{handler: server, dropETags: dropETags}
		client := infra.New(infra.Options{URL: "http://platform", HTTP: &http.Client{Transport: d}})
		for _, state := range []infra.VMState{infra.VMLive, infra.VMLeaving, infra.VMLive} {
			server.SetVMs(makeVMs(100, state))
			for n := range 3 {
				d.bytes = 0
				vms, complete, err := client.VMs(t.Context())
				assert.Assert(t, err == nil && complete, "%v", err)
				assert.DeepEqual(t, vms, makeVMs(100, state))
				assert.Equal(t, d.bytes > 0, n == 0 || dropETags)
			}
		}
	}
}

// Guards against one malformed entry that hides all others of the list, or that
// makes a VM look removed.
func TestMalformedEntryOfVMs(t *testing.T) {
	entry := func(id, state string) string {
		return `{"id":"` + id + `","availability_zone":"a]\"","kind":"upstream","state":"` + state + `"}`
	}
	deep := strings.Repeat("[", 20000) + strings.Repeat("]", 20000)
	for name, odd := range map[string]string{
		"deeply nested":        `{"id":"b","state":` + deep + `}`,
		"deeply nested object": strings.Repeat(`{"id":`, 20000) + "1" + strings.Repeat("}", 20000),
		"number as id":         `{"id":1e400}`,
		"list as zone":         `{"id":"b","availability_zone":[]}`,
		"null":                 `null`,
		"no id":                `{"kind":"upstream"}`,
		"no value":             "",
	} {
		t.Run(name, func(t *testing.T) {
			body := "[" + entry("a", "live") + "," + entry("b", "live") + "]"
			handler := http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { _, _ = io.WriteString(w, body) })
			client := infra.New(infra.Options{URL: "http://platform", HTTP: &http.Client{Transport: &handlerTransport{handler: handler}}})
			vms, complete, err := client.VMs(t.Context())
			assert.Assert(t, err == nil && complete && len(vms) == 2, "%v", err)
			body = "[" + entry("c", "live") + "," + odd + ", " + entry("a", "leaving") + " ]"
			vms, complete, err = client.VMs(t.Context())
			assert.Assert(t, err == nil && !complete, "%v", err)
			var got []string
			for _, vm := range vms {
				got = append(got, vm.ID+" "+string(vm.State))
			}
			assert.DeepEqual(t, got, []string{"c live", "a leaving", "b live"})
			body = "[" + entry("c", "live")
			_, _, err = client.VMs(t.Context())
			assert.Assert(t, err != nil, "a list that is cut off was accepted")
		})
	}
}

// BenchmarkVMs measures one read of the list of VMs when it is transferred in
// full, as after a change, and when it is unchanged. Entity tags are removed for
// the first case.
func BenchmarkVMs(b *testing.B) {
	for _, changed := range []bool{true, false} {
		for _, n := range []int{320, 1650, 3620} {
			b.Run(fmt.Sprintf("changed=%v/vms=%d", changed, n), func(b *testing.B) {
				server := standin.New(standin.Options{})
				server.SetVMs(makeVMs(n, infra.VMLive))
				d := &handlerTransport{handler: server, dropETags: changed}
				client := infra.New(infra.Options{URL: "http://platform", HTTP: &http.Client{Transport: d}})
				_, _, err := client.VMs(b.Context())
				assert.NilError(b, err)
				d.bytes = 0
				reads := 0
				for b.Loop() {
					reads++
					_, _, _ = client.VMs(b.Context())
				}
				b.ReportMetric(float64(d.bytes)/float64(reads), "bytes/read")
			})
		}
	}
}
