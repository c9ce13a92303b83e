package rollout

import "github.com/pkg/errors"

var (
	errLeaseEnded   = errors.New("the lease ended before the order")
	errOrderRefused = errors.New("the replica refused the order")
	errOrderLost    = errors.New("the order was lost")
	errRestarted    = errors.New("the replica started again")
	errLoadSlow     = errors.New("the replica did not load the weights in time")
)
