package main

import (
	"crypto/tls"
	"crypto/x509"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"os"
	"strings"
	"time"

	"github.com/google/uuid"
	"github.com/samber/oops"

	"github.com/savoryshift/savoryshift/operator"
)

// apiFlags are the flags of all commands that talk to a daemon.
type apiFlags struct {
	API    string        `long:"api" env:"SAVORYSHIFT_API" default:"http://127.0.0.1:8081" description:"URL of a daemon's operator listener"`
	Token  string        `long:"token" env:"SAVORYSHIFT_TOKEN" default-mask:"-" description:"operator token; better in the environment, where other users don't see it"`
	CAFile string        `long:"ca-file" env:"SAVORYSHIFT_CA_FILE" description:"certificates of the authorities that sign the daemon's certificate"`
	JSON   bool          `long:"json" description:"print JSON"`
	Limit  time.Duration `long:"timeout" default:"10s" description:"time limit of one call"`
}

// client returns the client of the operator API.
func (e *env) client() (*operator.Client, error) {
	transport := http.DefaultTransport.(*http.Transport).Clone()
	if e.api.CAFile != "" {
		pem, err := os.ReadFile(e.api.CAFile)
		if err != nil {
			return nil, oops.Wrapf(err, "certificate authorities")
		}
		pool := x509.NewCertPool()
		if !pool.AppendCertsFromPEM(pem) {
			return nil, oops.Errorf("file %s holds no certificate", e.api.CAFile)
		}
		transport.TLSClientConfig = &tls.Config{RootCAs: pool, MinVersion: tls.VersionTLS13}
	}
	return operator.NewClient(operator.ClientOptions{
		URL: e.api.API, Token: e.api.Token, HTTP: &http.Client{Transport: transport, Timeout: e.api.Limit},
	}), nil
}

// print writes value as indented JSON with --json, else calls text.
func (e *env) print(value any, text func(w io.Writer)) error {
	if !e.api.JSON {
		text(e.out)
		return nil
	}
	return printJSON(e.out, value)
}

func printJSON(w io.Writer, value any) error {
	enc := json.NewEncoder(w)
	enc.SetEscapeHTML(false)
	enc.SetIndent("", "  ")
	return enc.Encode(value)
}

// editFlags are the flags of all commands that change the tree.
type editFlags struct {
	Reason string        `long:"reason" short:"r" required:"true" description:"reason, for the audit trail"`
	ID     string        `long:"id" description:"id of the change; the same id again is harmless (default: a new UUID)"`
	Wait   bool          `long:"wait" description:"wait until the change is in force everywhere"`
	Within time.Duration `long:"wait-limit" default:"1m" description:"limit of --wait"`
}

func (f *editFlags) changeID() string {
	if f.ID == "" {
		f.ID = uuid.NewString()
	}
	return f.ID
}

// finish reports the result of an edit and waits for acceptance if asked to.
func (e *env) finish(c *operator.Client, f editFlags, result operator.EditResult, err error) error {
	if err != nil {
		return oops.Wrapf(err, "change %s", f.ID)
	}
	if f.Wait && result.State != operator.Accepted {
		ctx, cancel := contextWithin(e, f.Within)
		defer cancel()
		status, err := c.WaitAccepted(ctx, result.Revision, func(s operator.ChangeStatus) {
			fmt.Fprintf(e.err, "revision %d is %s; %s\n", s.Revision, s.State, missing(s.MissingZones, s.MissingVMs))
		})
		if err != nil {
			return err
		}
		result.State, result.MissingZones, result.MissingVMs = status.State, nil, nil
	}
	return e.print(result, func(w io.Writer) {
		what := "revision"
		if result.NoEffect {
			what = "nothing to change at revision"
		}
		fmt.Fprintf(w, "%s %d: %s%s\n", what, result.Revision, result.State, withMissing(result.MissingZones, result.MissingVMs))
	})
}

func withMissing(zones, vms []string) string {
	if len(zones)+len(vms) == 0 {
		return ""
	}
	return "; " + missing(zones, vms)
}

func missing(zones, vms []string) string {
	return fmt.Sprintf("missing zones: %s; missing VMs: %s", strings.Join(zones, ", "), strings.Join(vms, ", "))
}
