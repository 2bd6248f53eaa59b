package proxy

import (
	"context"
	"crypto/sha256"
	"errors"
	"fmt"
	"net/http"
	"slices"
	"strings"
	"time"

	"github.com/google/uuid"

	"github.com/savoryshift/savoryshift/errkind"
	"github.com/savoryshift/savoryshift/tree"
)

// pinnedSession is the session of a request. A request without a session gets
// its request id as session id, so that rollouts can place it in a cohort.
type pinnedSession struct {
	id   string
	name string
	// versions has one version of each model that the session uses; it is empty
	// for a session whose versions are not selected yet.
	versions []string
	// tokenRequested is set when the response carries a session token.
	tokenRequested bool
}

// chatCompletions handles POST /v1/chat/completions.
func (s *Server) chatCompletions(w *callerResponse, r *request) error {
	m, err := s.prepareModelRequest(w, r)
	if err != nil {
		return err
	}
	if err := s.stop.refuse(m.route.Deadline); err != nil {
		return err
	}
	if err := s.refuseQuarantined(m); err != nil {
		return err
	}
	done, err := s.options.Limiter.Admit(m.route.Effective, expectedTokens(m))
	if err != nil {
		return err
	}
	tokens := 0
	defer func() { done(tokens) }()
	if m.reservation, err = s.options.Biller.Reserve(); err != nil {
		return err
	}
	defer m.reservation.Cancel()
	plan, err := s.options.Router.Plan(m.route)
	if err != nil {
		return err
	}
	s.counters.plans.Add(plan.Kind, 1)
	ctx, cancel := context.WithDeadline(r.Context(), m.route.Deadline)
	defer cancel()
	resp, err := s.respond(ctx, w, m, plan)
	tokens = resp.result.CompletionTokens
	if r.Context().Err() != nil && !endedByStop(r.Context()) {
		s.counters.callersLeft.Add(1)
	}
	return err
}

// expectedTokens returns the number of tokens that a request counts against a
// token limit until the length of its response is known.
func expectedTokens(m *modelRequest) int {
	if m.chat.maxTokens > 0 {
		return m.chat.maxTokens
	}
	const typicalAnswerTokens = 256
	return typicalAnswerTokens
}

// prepareModelRequest validates a model request against the settings snapshot
// and selects its versions.
func (s *Server) prepareModelRequest(w *callerResponse, r *request) (*modelRequest, error) {
	data, err := readBody(w, r.Request, s.options.Bounds.BodyBytes)
	if err != nil {
		return nil, err
	}
	if err := holdItems(w, data); err != nil {
		return nil, err
	}
	chat, err := parseChat(data)
	if err != nil {
		return nil, err
	}
	key, err := idempotencyKey(r.Request)
	if err != nil {
		return nil, err
	}
	service, model, err := s.resolveModel(r, chat.model)
	if err != nil {
		return nil, err
	}
	session, err := s.parseSession(r, service)
	if err != nil {
		return nil, err
	}
	e, err := r.snapshot.Effective(r.organisation, service, session.name)
	if err != nil {
		return nil, err
	}
	deadline, err := parseDeadline(r.Request, r.arrival, e.Deadline())
	if err != nil {
		return nil, err
	}
	m := &modelRequest{chat: chat, session: session, request: r, model: model, ledgerKey: r.id}
	if key != "" {
		m.ledgerKey = idempotentLedgerKey(service, key, data)
	}
	m.route = RouteRequest{
		RequestID:    r.id,
		Organisation: r.organisation,
		Service:      service,
		Effective:    e,
		PromptTokens: chat.promptTokens,
		MaxTokens:    chat.maxTokens,
		PrefixHash:   chat.prefixHash,
		PrefixShare:  chat.prefixShare,
		Deadline:     deadline,
		Stream:       chat.stream,
	}
	return m, s.chooseVersions(m)
}

// chooseVersions sets the versions of a request by the snapshot of the request
// and the current halts and evidence.
func (s *Server) chooseVersions(m *modelRequest) error {
	versions, err := s.routableVersions(m.request, m.route.Service, &m.session)
	if err != nil {
		return err
	}
	m.route.Versions, err = filterByModel(m.request.snapshot, versions, m.model)
	return err
}

// idempotentLedgerKey returns the ledger key of a request with an idempotency
// key. It is a hash that covers service and body, so that a key that is used
// again for other content is billed again, and it is short enough for the
// ledger.
func idempotentLedgerKey(service, key string, body []byte) string {
	h := sha256.New()
	writeLengthPrefixed(h, service)
	writeLengthPrefixed(h, key)
	h.Write(body)
	return fmt.Sprintf("idempotent/%x", h.Sum(nil))
}

// resolveModel finds the service that the "model" member names: the service
// itself, or the first service of the organisation that allows the model. In
// the second case it also returns the model.
func (s *Server) resolveModel(r *request, name string) (service, model string, err error) {
	services := r.snapshot.ModelServices(r.organisation)
	if slices.Contains(services, name) {
		return name, "", nil
	}
	for _, candidate := range services {
		e, err := r.snapshot.Effective(r.organisation, candidate, "")
		if err == nil && allowsModel(e, name) {
			return candidate, name, nil
		}
	}
	return "", "", errkind.New(errkind.NotFound, "the organisation has no service or model %q", name)
}

// allowsModel reports whether the settings allow a version of the model.
func allowsModel(e *tree.Effective, model string) bool {
	return slices.ContainsFunc(e.Versions, func(v tree.AllowedVersion) bool { return v.Model == model })
}

// parseSession reads the session header. It rejects a token of another
// organisation or service.
func (s *Server) parseSession(r *request, service string) (pinnedSession, error) {
	text := r.Header.Get(HeaderSession)
	name, isNew := strings.CutPrefix(text, newSessionPrefix)
	switch {
	case text == "":
		return pinnedSession{id: r.id}, nil
	case isNew && name == "":
		return pinnedSession{id: uuid.NewString(), tokenRequested: true}, nil
	case isNew && strings.HasPrefix(name, ":"):
		return pinnedSession{id: uuid.NewString(), name: name[1:], tokenRequested: true}, nil
	}
	pin, err := s.options.Sessions.Verify(text, r.organisation)
	if err != nil {
		return pinnedSession{}, err
	}
	if pin.Service != service {
		return pinnedSession{}, errkind.New(errkind.Forbidden, "the session belongs to another service")
	}
	return pinnedSession{id: pin.ID, name: pin.Name, versions: pin.Versions, tokenRequested: true}, nil
}

// versionUsable reports whether new requests may be sent to a version: it is
// not halted, and either the configuration is known to be fresh or the version
// is usable in isolation. It does not check whether an organisation allows the
// version.
func (s *Server) versionUsable(snapshot *tree.Snapshot, version string) bool {
	rollout, _ := snapshot.RolloutTo(version)
	if s.options.Halts.Halted(version, rollout) {
		return false
	}
	return s.options.Evidence.Covers(snapshot.Revision()) || snapshot.UsableInIsolation(version)
}

// allowedVersions returns the versions that a request with these settings may
// use, by the newest configuration, halts and evidence.
func (s *Server) allowedVersions(organisation, service, session string) ([]string, error) {
	snapshot := s.options.Snapshot()
	e, err := snapshot.Effective(organisation, service, session)
	if err != nil {
		return nil, err
	}
	var versions []string
	for _, v := range e.Versions {
		if s.versionUsable(snapshot, v.ID) {
			versions = append(versions, v.ID)
		}
	}
	if len(versions) == 0 {
		return nil, s.noVersionError(snapshot, e)
	}
	return versions, nil
}

// noVersionError explains why no version can be used: the settings allow none,
// or the daemon is isolated and the allowed versions are not usable in
// isolation.
func (s *Server) noVersionError(snapshot *tree.Snapshot, e *tree.Effective) error {
	if len(e.Versions) > 0 && !s.options.Evidence.Covers(snapshot.Revision()) {
		return errkind.New(errkind.Isolated, "this daemon is cut off and may use none of the allowed versions")
	}
	return errkind.New(errkind.NoAllowedVersion, "the organisation allows no version that is in use")
}

// routableVersions returns the versions that the Router may choose from, at
// most one of each model. An existing session keeps its versions or gets their
// successors; a new session gets the versions of its rollout cohorts.
func (s *Server) routableVersions(r *request, service string, session *pinnedSession) ([]string, error) {
	allowed, err := s.allowedVersions(r.organisation, service, session.name)
	if err != nil {
		return nil, err
	}
	if len(session.versions) == 0 {
		session.versions, err = s.newSessionVersions(r, service, session, allowed)
		return session.versions, err
	}
	var versions []string
	for _, pinned := range session.versions {
		if v, ok := s.resolvePinnedVersion(r.snapshot, allowed, pinned); ok && !slices.Contains(versions, v) {
			versions = append(versions, v)
		}
	}
	if len(versions) == 0 {
		return nil, errkind.New(errkind.NoAllowedVersion, "none of the session's versions %q may be used, and none has a usable successor", session.versions)
	}
	session.versions = versions
	return versions, nil
}

// newSessionVersions selects the versions of a new session by the cohorts of
// the running rollouts.
func (s *Server) newSessionVersions(r *request, service string, session *pinnedSession, allowed []string) ([]string, error) {
	e, err := r.snapshot.Effective(r.organisation, service, session.name)
	if err != nil {
		return nil, err
	}
	var versions, models []string
	for _, v := range e.Versions {
		if v.OnlyByRollout || slices.Contains(models, v.Model) {
			continue
		}
		placed := r.snapshot.CohortVersion(session.id, v.ID)
		if !slices.Contains(allowed, placed) {
			// The candidate is halted, not allowed or not usable in isolation.
			placed = v.ID
		}
		if slices.Contains(allowed, placed) {
			versions, models = append(versions, placed), append(models, v.Model)
		}
	}
	if len(versions) == 0 {
		return nil, s.noVersionError(r.snapshot, e)
	}
	return versions, nil
}

// filterByModel keeps the versions of a model; an empty model keeps all.
func filterByModel(snapshot *tree.Snapshot, versions []string, model string) ([]string, error) {
	if model == "" {
		return versions, nil
	}
	for _, id := range versions {
		if v, ok := snapshot.Version(id); ok && v.Model == model {
			return []string{id}, nil
		}
	}
	return nil, errkind.New(errkind.NoAllowedVersion, "no version of model %q may be used", model)
}

// resolvePinnedVersion returns the pinned version of a session or, when it may
// not be used, its replacement: the successor of the version, or the base of
// its rollout. All daemons choose the same replacement.
func (s *Server) resolvePinnedVersion(snapshot *tree.Snapshot, allowed []string, version string) (string, bool) {
	if slices.Contains(allowed, version) {
		return version, true
	}
	if successor, ok := snapshot.SuccessorOf(version); ok && slices.Contains(allowed, successor) {
		return successor, true
	}
	if rollout, ok := snapshot.RolloutTo(version); ok {
		// The candidate is halted or not usable in isolation.
		base := snapshot.Tree().Rollouts[rollout].From
		return base, slices.Contains(allowed, base)
	}
	return "", false
}

// setResponseHeaders sets the headers with model and version and, if one was
// requested, the session token.
func (s *Server) setResponseHeaders(h http.Header, m *modelRequest, t Target) error {
	h.Set(HeaderModel, t.Model)
	h.Set(HeaderVersion, t.Version)
	h.Set(HeaderRepeated, "false")
	if !m.session.tokenRequested {
		return nil
	}
	token, err := s.options.Sessions.Sign(SessionPin{
		Organisation: m.route.Organisation,
		Service:      m.route.Service,
		ID:           m.session.id,
		Name:         m.session.name,
		Versions:     m.session.versions,
	})
	if err != nil {
		return errkind.Wrap(errkind.Internal, err)
	}
	h.Set(HeaderSession, token)
	return nil
}

func (m *modelRequest) usage(resp reply) Usage {
	return Usage{
		Organisation:     m.route.Organisation,
		RequestKey:       m.ledgerKey,
		Service:          m.route.Service,
		Model:            resp.target.Model,
		Version:          resp.target.Version,
		PromptTokens:     resp.result.PromptTokens,
		CompletionTokens: resp.result.CompletionTokens,
		Cost:             price(m.route.Effective, resp),
		Time:             time.Now(),
	}
}

// promptTokenPrice is the price of a prompt token relative to that of a
// generated token.
const promptTokenPrice = 0.2

// price returns what the organisation is charged for a response.
func price(e *tree.Effective, resp reply) float64 {
	v, _ := e.Allowed(resp.target.Version)
	tokens := float64(resp.result.CompletionTokens) + promptTokenPrice*float64(resp.result.PromptTokens)
	return v.CostPer1kOutputTokens * tokens / 1000
}

// errCallerLeft ends a stream when writing to the caller fails.
var errCallerLeft = errors.New("caller closed the connection")
