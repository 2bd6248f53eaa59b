package daemon

import "github.com/savoryshift/savoryshift/proxy"

// guards watches the candidates of roll-outs under way.
type guards struct{}

func (g *guards) served(proxy.Outcome)                         {}
func (g *guards) failed(proxy.Outcome)                         {}
func (g *guards) rated(proxy.RouteRequest, proxy.Target, bool) {}
func (g *guards) watched(version string) bool                  { return false }
