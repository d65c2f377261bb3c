package core

import "time"

// MaxClockError is by how much the wall clocks of two controllers may differ, as the deployment
// guarantees it.
func (k *Core) MaxClockError() time.Duration {
	return time.Duration(k.Config.Deployment.ClockErrorMS * float64(time.Millisecond))
}
