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

// apiFlags are the flags for calls of a daemon's operator API. Every command
// accepts them.
type apiFlags struct {
	API         string        `long:"api" env:"SAVORYSHIFT_API" default:"http://127.0.0.1:8081" description:"URL of a daemon's operator listener"`
	Token       string        `long:"token" env:"SAVORYSHIFT_TOKEN" default-mask:"-" description:"operator token; better in the environment, where other users don't see it"`
	CAFile      string        `long:"ca-file" env:"SAVORYSHIFT_CA_FILE" description:"certificates of the authorities that sign the daemon's certificate"`
	JSON        bool          `long:"json" description:"print JSON"`
	CallTimeout time.Duration `long:"timeout" default:"10s" description:"time limit of one call"`
}

// client returns a client of the operator API that is configured by the flags.
func (e *env) client() (*operator.Client, error) {
	transport := http.DefaultTransport.(*http.Transport).Clone()
	if e.api.CAFile != "" {
		pem, err := os.ReadFile(e.api.CAFile)
		if err != nil {
			return nil, oops.Wrapf(err, "read the file of --ca-file")
		}
		pool := x509.NewCertPool()
		if !pool.AppendCertsFromPEM(pem) {
			return nil, oops.Errorf("file %s contains no PEM certificate", e.api.CAFile)
		}
		transport.TLSClientConfig = &tls.Config{RootCAs: pool, MinVersion: tls.VersionTLS13}
	}
	return operator.NewClient(operator.ClientOptions{
		URL: e.api.API, Token: e.api.Token, HTTP: &http.Client{Transport: transport, Timeout: e.api.CallTimeout},
	}), nil
}

// print writes value as indented JSON if --json is set, and otherwise calls text
// to write it in readable form.
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

// editFlags are the flags of all commands that change the settings tree.
type editFlags struct {
	Reason    string        `long:"reason" short:"r" required:"true" description:"reason, for the audit trail"`
	ID        string        `long:"id" description:"id of the change; the same id again is harmless (default: a new UUID)"`
	Wait      bool          `long:"wait" description:"wait until the change is in force everywhere"`
	WaitLimit time.Duration `long:"wait-limit" default:"1m" description:"limit of --wait"`
}

// changeID returns the id of the change, which is generated on the first call if
// the flag is not set.
func (f *editFlags) changeID() string {
	if f.ID == "" {
		f.ID = uuid.NewString()
	}
	return f.ID
}

// reportEdit prints the result of an edit. With --wait it first waits until the
// change is accepted, and prints the zones and VMs that are still missing.
func (e *env) reportEdit(c *operator.Client, f editFlags, result operator.EditResult, err error) error {
	if err != nil {
		return oops.Wrapf(err, "change %s", f.ID)
	}
	if f.Wait && result.State != operator.Accepted {
		ctx, cancel := withTimeout(e, f.WaitLimit)
		defer cancel()
		status, err := c.WaitAccepted(ctx, result.Revision, func(s operator.ChangeStatus) {
			fmt.Fprintf(e.err, "revision %d is %s; %s\n", s.Revision, s.State, formatMissing(s.MissingZones, s.MissingVMs))
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
		fmt.Fprintf(w, "%s %d: %s%s\n", what, result.Revision, result.State, missingSuffix(result.MissingZones, result.MissingVMs))
	})
}

// missingSuffix returns formatMissing after a separator, or nothing if no zone and
// no VM is missing.
func missingSuffix(zones, vms []string) string {
	if len(zones)+len(vms) == 0 {
		return ""
	}
	return "; " + formatMissing(zones, vms)
}

// formatMissing lists the zones and VMs in which a change is not yet in force.
func formatMissing(zones, vms []string) string {
	return fmt.Sprintf("missing zones: %s; missing VMs: %s", strings.Join(zones, ", "), strings.Join(vms, ", "))
}
