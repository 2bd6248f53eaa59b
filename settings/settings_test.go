package settings_test

import (
	"flag"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/savoryshift/savoryshift/internal/fielddoc"
	"github.com/savoryshift/savoryshift/settings"
	"github.com/savoryshift/savoryshift/tree"
)

var update = flag.Bool("update-docs", false, "rewrite the tables of docs/settings.md")

const valid = `{"vm":"entry-1","availability_zone":"tt-arima","region":"tt-north",
"listen":{"callers":"127.0.0.1:8080","operators":"127.0.0.1:8081","peers":"127.0.0.1:8082"},
"platform_url":"http://127.0.0.1:7000","cluster_token":"0123456789abcdef",
"operator_tokens":[{"name":"ana","sha256":"ad165b11320bc91501ab08613cc3a48a62a6caca4d5c8b14ca82cc313b3b96cd","role":"editor"}],
"session_keys":[{"id":"k1","secret_base64":"MDEyMzQ1Njc4OTAxMjM0NTY3ODkwMTIzNDU2Nzg5MDE="}]}`

func TestDefaultsApplyToMissingValues(t *testing.T) {
	s, err := settings.Parse([]byte(valid))
	assert.NilError(t, err)
	assert.Equal(t, s.Periods.EvidenceLeaseMs.Duration().String(), "4s")
	assert.Equal(t, s.Bounds.BodyBytes, int64(4<<20))
	assert.Equal(t, s.AdvertisedPeerAddress, "127.0.0.1:8082")
	assert.Equal(t, len(s.Keys()[0].Secret), 32)
}

// Guards against a daemon that starts with invalid settings, in particular without
// encryption at an address that is not loopback.
func TestEachBadValueIsReported(t *testing.T) {
	combined, problems := []byte(valid), 0
	for patch, want := range map[string]string{
		`{"vm":"a/b"}`:                                              `/vm: "a/b"`,
		`{"listen":{"callers":"10.0.0.1:8080"}}`:                    `/listen/callers: "10.0.0.1:8080" is not allowed; allowed: a loopback address, or TLS files at /tls/callers, or "insecure_beyond_loopback"`,
		`{"listen":{"operators":"localhost:1"}}`:                    `/listen/operators: "localhost:1"`,
		`{"listen":{"peers":"127.0.0.1:8080"}}`:                     `/listen/peers: "127.0.0.1:8080"`,
		`{"advertised_peer_address":"0.0.0.0:8082"}`:                `/advertised_peer_address`,
		`{"seed_peers":[{"address":"peer-1:8082"}]}`:                `/seed_peers/0/address: "peer-1:8082"`,
		`{"platform_url":"platform:7000"}`:                          `/platform_url`,
		`{"insecure_beyond_loopback":"yes"}`:                        `/insecure_beyond_loopback: "yes"`,
		`{"tls":{"peers":{"cert_file":"c","key_file":"k"}}}`:        `/tls/peers/ca_file`,
		`{"tls":{"callers":{"cert_file":"c"}}}`:                     `/tls/callers: "one file"`,
		`{"cluster_token":"short"}`:                                 `/cluster_token: "(hidden)"`,
		`{"operator_tokens":[{"name":"a","sha256":"","role":""}]}`:  `/operator_tokens/0/role: ""`,
		`{"session_keys":[{"id":"k1","secret_base64":"c2hvcnQ="}]}`: `/session_keys/0/secret_base64: "(hidden)"`,
		`{"bounds":{"header_bytes":0}}`:                             `/bounds/header_bytes: 0 is not allowed; allowed: 4096 to 1048576 bytes`,
		`{"periods":{"head_read_ms":1500}}`:                         `/periods/evidence_lease_ms: 4000 is not allowed; allowed: at least 5000 ms`,
	} {
		patched, err := tree.ApplyPatch([]byte(valid), []byte(patch))
		assert.NilError(t, err)
		_, err = settings.Parse(patched)
		assert.ErrorContains(t, err, want, patch)
		combined, _ = tree.ApplyPatch(combined, []byte(patch))
		problems++
	}
	_, err := settings.Parse(combined)
	found, ok := err.(settings.Problems)
	assert.Assert(t, ok && len(found) >= problems-2, "%v", err)
	insecure, _ := tree.ApplyPatch([]byte(valid), []byte(`{"listen":{"callers":"10.0.0.1:8080"},"insecure_beyond_loopback":"`+settings.AcceptInsecure+`"}`))
	_, err = settings.Parse(insecure)
	assert.NilError(t, err)
}

func TestLoadNamesTheFile(t *testing.T) {
	_, err := settings.Load(filepath.Join(t.TempDir(), "missing.json"))
	assert.ErrorContains(t, err, "missing.json")
}

// Guards against tables in docs/settings.md that differ from the fields, defaults and
// ranges in the code.
func TestSettingsPageMatchesTheCode(t *testing.T) {
	const page = "../docs/settings.md"
	data, err := os.ReadFile(page)
	assert.NilError(t, err)
	want := string(data)
	for _, source := range []string{"settings/settings.go", "tree/tree.go"} {
		tables, err := fielddoc.Render("../" + source)
		assert.NilError(t, err)
		beginMarker, endMarker := "<!-- fields of "+source+" -->\n", "<!-- end of "+source+" -->\n"
		before, rest, ok := strings.Cut(want, beginMarker)
		assert.Assert(t, ok, beginMarker)
		_, after, ok := strings.Cut(rest, endMarker)
		assert.Assert(t, ok, endMarker)
		want = before + beginMarker + "\n" + tables + endMarker + after
	}
	if *update {
		assert.NilError(t, os.WriteFile(page, []byte(want), 0o644))
	}
	assert.Assert(t, *update || want == string(data), "docs/settings.md differs from the code; run go test ./settings -update-docs")
}

// FuzzParse guards against settings that make the parser panic, and against invalid
// settings that are accepted.
func FuzzParse(f *testing.F) {
	for _, seed := range []string{valid, "{}", "", `{"vm":null}`, `{"bounds":{"body_bytes":1e9}}`, strings.Repeat("[", 1000)} {
		f.Add([]byte(seed))
	}
	f.Fuzz(func(t *testing.T, data []byte) {
		s, err := settings.Parse(data)
		if err == nil && (s.VM == "" || len(s.SessionKeys) == 0 || s.Bounds.HeaderBytes < 4096 || s.Periods.EvidenceLeaseMs < 1000) {
			t.Fatalf("accepted %s", data)
		}
	})
}
