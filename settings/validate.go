package settings

import (
	"encoding/base64"
	"net/netip"
	"net/url"
	"reflect"
	"regexp"
	"strconv"
	"strings"

	"github.com/savoryshift/savoryshift/internal/check"
	"github.com/savoryshift/savoryshift/session"
)

const (
	minClusterToken = 16
	maxClusterToken = 256
	maxSeedPeers    = 64
	maxNameLength   = 64
	allowedID       = "1 to 64 letters, digits, '.', '_' or '-', starting with a letter or digit"
	allowedAddress  = "an IP address and a port, for example 10.0.0.1:8080"
	// redacted replaces the values of secrets in problems, which are printed and
	// logged.
	redacted = "(hidden)"
)

var (
	idPattern     = regexp.MustCompile(`^[A-Za-z0-9][A-Za-z0-9._-]{0,63}$`)
	keyIDPattern  = regexp.MustCompile(`^[A-Za-z0-9]{1,16}$`)
	digestPattern = regexp.MustCompile(`^[0-9a-f]{64}$`)
)

// validator collects the problems of settings.
type validator struct {
	check.Collector
	s Settings
}

func (s Settings) validate() error {
	v := &validator{s: s}
	for path, id := range map[string]string{"/vm": s.VM, "/availability_zone": s.AvailabilityZone, "/region": s.Region} {
		if !idPattern.MatchString(id) {
			v.Add(path, id, allowedID)
		}
	}
	v.checkListener("/listen/callers", s.Listen.Callers, "/tls/callers", s.TLS.Callers)
	v.checkListener("/listen/operators", s.Listen.Operators, "/tls/operators", s.TLS.Operators)
	v.checkListener("/listen/peers", s.Listen.Peers, "/tls/peers", s.TLS.Peers)
	v.checkDistinctListeners()
	v.checkPeers()
	v.checkPlatformURL()
	v.checkOperatorTokens()
	v.checkSessionKeys()
	v.checkRanges("", reflect.ValueOf(s))
	v.checkEvidenceLease()
	return v.Err()
}

// checkListener checks the address and the TLS files of a listener.
func (v *validator) checkListener(path, text, tlsPath string, files TLSFiles) {
	if (files.CertFile == "") != (files.KeyFile == "") {
		v.Add(tlsPath, "one file", "cert_file and key_file together")
	}
	if files.CAFile != "" && files.CertFile == "" {
		v.Add(tlsPath+"/ca_file", files.CAFile, "only together with cert_file and key_file")
	}
	addr, err := netip.ParseAddrPort(text)
	if err != nil {
		v.Add(path, text, allowedAddress)
		return
	}
	if !addr.Addr().IsLoopback() && files.CertFile == "" && v.s.InsecureBeyondLoopback != AcceptInsecure {
		v.Add(path, text, `a loopback address, or TLS files at %s, or "insecure_beyond_loopback": %q`, tlsPath, AcceptInsecure)
	}
}

// checkDistinctListeners checks that no two listeners have the same address, except
// with port 0. It also checks the value of InsecureBeyondLoopback.
func (v *validator) checkDistinctListeners() {
	l := v.s.Listen
	for path, pair := range map[string][2]string{"/listen/operators": {l.Operators, l.Callers}, "/listen/peers": {l.Peers, l.Callers}, "/listen/peers ": {l.Peers, l.Operators}} {
		if pair[0] == pair[1] && !strings.HasSuffix(pair[0], ":0") && pair[0] != "" {
			v.Add(strings.TrimSpace(path), pair[0], "an address that no other listener has")
		}
	}
	if text := v.s.InsecureBeyondLoopback; text != "" && text != AcceptInsecure {
		v.Add("/insecure_beyond_loopback", text, "missing, or %q", AcceptInsecure)
	}
}

func (v *validator) checkSeedPeer(path string, s SeedPeer) {
	for name, id := range map[string]string{"/vm": s.VM, "/availability_zone": s.AvailabilityZone} {
		if !idPattern.MatchString(id) {
			v.Add(path+name, id, allowedID)
		}
	}
	if _, err := netip.ParseAddrPort(s.Address); err != nil {
		v.Add(path+"/address", s.Address, allowedAddress)
	}
}

// checkPeers checks the advertised address, the seeds and how peers authenticate each
// other.
func (v *validator) checkPeers() {
	addr, err := netip.ParseAddrPort(v.s.AdvertisedPeerAddress)
	if err != nil || addr.Addr().IsUnspecified() {
		v.Add("/advertised_peer_address", v.s.AdvertisedPeerAddress, "the IP address and port at which other daemons reach the peer listener")
	}
	if len(v.s.SeedPeers) > maxSeedPeers {
		v.Add("/seed_peers", len(v.s.SeedPeers), "at most %d addresses", maxSeedPeers)
	}
	for i, seed := range v.s.SeedPeers {
		v.checkSeedPeer("/seed_peers/"+strconv.Itoa(i), seed)
	}
	files := v.s.TLS.Peers
	if files.CertFile != "" && files.CAFile == "" {
		v.Add("/tls/peers/ca_file", "", "the file of the authorities, because daemons use mutual TLS")
	}
	if token := v.s.ClusterToken; token == "" && files.CertFile != "" {
		return
	} else if len(token) < minClusterToken || len(token) > maxClusterToken {
		v.Add("/cluster_token", redacted, "%d to %d characters, or mutual TLS at /tls/peers", minClusterToken, maxClusterToken)
	}
}

func (v *validator) checkPlatformURL() {
	u, err := url.Parse(v.s.PlatformURL)
	if err != nil || (u.Scheme != "http" && u.Scheme != "https") || u.Host == "" || u.User != nil || u.RawQuery != "" || u.Fragment != "" {
		v.Add("/platform_url", v.s.PlatformURL, "an http or https URL without user, query and fragment")
	}
}

func (v *validator) checkOperatorTokens() {
	names, digests := map[string]bool{}, map[string]bool{}
	for i, token := range v.s.OperatorTokens {
		path := "/operator_tokens/" + strconv.Itoa(i)
		if token.Name == "" || len(token.Name) > maxNameLength || names[token.Name] {
			v.Add(path+"/name", token.Name, "1 to %d characters, each name once", maxNameLength)
		}
		if !digestPattern.MatchString(token.SHA256) || digests[token.SHA256] {
			v.Add(path+"/sha256", token.SHA256, "a SHA-256 digest of 64 lower-case hex digits, each once")
		}
		if token.Role != Viewer && token.Role != Editor {
			v.Add(path+"/role", string(token.Role), "viewer or editor")
		}
		names[token.Name], digests[token.SHA256] = true, true
	}
}

func (v *validator) checkSessionKeys() {
	if len(v.s.SessionKeys) == 0 {
		v.Add("/session_keys", "none", "at least one key")
	}
	ids := map[string]bool{}
	for i, key := range v.s.SessionKeys {
		path := "/session_keys/" + strconv.Itoa(i)
		if !keyIDPattern.MatchString(key.ID) || ids[key.ID] {
			v.Add(path+"/id", key.ID, "1 to 16 letters or digits, each id once")
		}
		ids[key.ID] = true
		if secret, err := base64.StdEncoding.DecodeString(key.SecretBase64); err != nil || len(secret) < session.MinSecretBytes {
			v.Add(path+"/secret_base64", redacted, "at least %d bytes in standard base64", session.MinSecretBytes)
		}
	}
}

// checkRanges checks the fields that have the tags min and max, including those of
// nested structs.
func (v *validator) checkRanges(path string, value reflect.Value) {
	for field, inner := range value.Fields() {
		key, _, _ := strings.Cut(field.Tag.Get("json"), ",")
		fieldPath := check.Pointer(path, key)
		if inner.Kind() == reflect.Struct {
			v.checkRanges(fieldPath, inner)
		}
		if low, ok := field.Tag.Lookup("min"); ok {
			high := field.Tag.Get("max")
			if inner.Int() < mustParseInt(low) || inner.Int() > mustParseInt(high) {
				v.Add(fieldPath, inner.Int(), "%s to %s %s", low, high, field.Tag.Get("unit"))
			}
		}
	}
}

// checkEvidenceLease checks that the evidence lease is at least twice the sum of the
// periods of the two steps by which evidence arrives: the read of the head by a
// delegate and the pull from a peer. A single lost message then doesn't isolate a
// daemon.
func (v *validator) checkEvidenceLease() {
	p := v.s.Periods
	if minLease := 2 * (p.HeadReadMs + p.PeerPullMs); p.EvidenceLeaseMs < minLease {
		v.Add("/periods/evidence_lease_ms", p.EvidenceLeaseMs, "at least %d ms, twice the sum of head_read_ms and peer_pull_ms", minLease)
	}
}

// Keys returns the session keys in the form that package session uses.
func (s Settings) Keys() []session.Key {
	keys := make([]session.Key, len(s.SessionKeys))
	for i, key := range s.SessionKeys {
		secret, _ := base64.StdEncoding.DecodeString(key.SecretBase64) // validated
		keys[i] = session.Key{ID: key.ID, Secret: secret}
	}
	return keys
}
