package daemon

import (
	"context"
	"errors"

	"github.com/savoryshift/savoryshift/coord/spread"
	"github.com/savoryshift/savoryshift/tree"
)

type openLimiter struct{}

func (openLimiter) Admit(*tree.Effective, int) (func(int), error) { return func(int) {}, nil }

type noCopier struct{}

func (noCopier) CopyEntries(context.Context, string, []byte) error            { return errNoPeers }
func (noCopier) ReleaseEntries(context.Context, string, string, uint64) error { return errNoPeers }

type noPeers struct{}

var errNoPeers = errors.New("no peers")

func (noPeers) Sync(context.Context, string, spread.SyncRequest) (spread.SyncReply, error) {
	return spread.SyncReply{}, errNoPeers
}
func (noPeers) Notify(context.Context, string, spread.Notification) error { return errNoPeers }
