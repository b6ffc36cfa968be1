package settings

import "fmt"

// MaxInstances is how many nodes a tier may have. Each takes its part of quotas and of cold servers by that number: one far too high
// leaves every node next to nothing.
const MaxInstances = 20_000

// InstancesError is a setting that claims more nodes than a tier may have.
type InstancesError struct {
	Instances int
}

func (e *InstancesError) Error() string {
	return fmt.Sprintf("setting Instances is %d, above %d: give the number of nodes before this tier; each node's part of quotas and of "+
		"cold servers goes by it", e.Instances, MaxInstances)
}
