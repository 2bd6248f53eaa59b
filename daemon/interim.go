package daemon

import "github.com/savoryshift/savoryshift/tree"

type openLimiter struct{}

func (openLimiter) Admit(*tree.Effective, int) (func(int), error) { return func(int) {}, nil }
