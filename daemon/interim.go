package daemon

import (
	"context"
	"errors"

	"github.com/savoryshift/savoryshift/coord/spread"
	"github.com/savoryshift/savoryshift/proxy"
	"github.com/savoryshift/savoryshift/tree"
)

type openLimiter struct{}

func (openLimiter) Admit(*tree.Effective, int) (func(int), error) { return func(int) {}, nil }

type openBiller struct{}

func (b openBiller) Reserve() (proxy.Reservation, error)  { return b, nil }
func (openBiller) Add(context.Context, proxy.Usage) error { return nil }
func (openBiller) Cancel()                                {}

type noPeers struct{}

var errNoPeers = errors.New("no peers")

func (noPeers) Sync(context.Context, string, spread.SyncRequest) (spread.SyncReply, error) {
	return spread.SyncReply{}, errNoPeers
}
func (noPeers) Notify(context.Context, string, spread.Notification) error { return errNoPeers }
