package main

import (
	"crypto/rand"
	"crypto/sha256"
	"encoding/base64"
	"encoding/hex"
	"fmt"
	"io"

	"github.com/jessevdk/go-flags"
)

var keyCommand = command{name: "key", short: "Generate an organisation key, an operator token or a session key",
	new: func(e *env) flags.Commander { return &keyOptions{env: e} }}

// secretBytes is the number of random bytes of a new secret.
const secretBytes = 32

type keyOptions struct {
	env  *env
	Args struct {
		Kind string `positional-arg-name:"KIND" choice:"organisation" choice:"operator" choice:"session" required:"true" description:"organisation, operator or session"`
	} `positional-args:"yes"`
}

// key is the output of `savoryctl key --json`.
type key struct {
	Kind   string `json:"kind"`
	Secret string `json:"secret"`
	// SHA256 is the digest of the secret for the settings tree (organisation) or
	// the settings file (operator).
	SHA256 string `json:"sha256,omitempty"`
}

// Execute implements flags.Commander.
func (o *keyOptions) Execute([]string) error {
	k, err := newKey(o.Args.Kind)
	if err != nil {
		return err
	}
	return o.env.print(k, func(w io.Writer) {
		fmt.Fprintf(w, "secret %s\n", k.Secret)
		if k.SHA256 != "" {
			fmt.Fprintf(w, "sha256 %s\n", k.SHA256)
		}
	})
}

// newKey generates a secret of the given kind.
func newKey(kind string) (key, error) {
	prefixes := map[string]string{"organisation": "sk-", "operator": "op-", "session": ""}
	prefix, ok := prefixes[kind]
	if !ok {
		return key{}, fmt.Errorf("kind %q is not organisation, operator or session", kind)
	}
	secret := make([]byte, secretBytes)
	_, _ = rand.Read(secret) // never returns an error
	if kind == "session" {
		return key{Kind: kind, Secret: base64.StdEncoding.EncodeToString(secret)}, nil
	}
	text := prefix + base64.RawURLEncoding.EncodeToString(secret)
	sum := sha256.Sum256([]byte(text))
	return key{Kind: kind, Secret: text, SHA256: hex.EncodeToString(sum[:])}, nil
}
