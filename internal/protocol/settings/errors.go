package settings

import "fmt"

// SettingError names the first setting that can't be used.
type SettingError struct {
	Setting string // as it is written, "Classes[0].AimMs"
	Problem string
}

func (e *SettingError) Error() string { return fmt.Sprintf("setting %s %s", e.Setting, e.Problem) }

// InstancesError means that the settings claim more nodes than a tier may have.
type InstancesError struct {
	Instances int
}

func (e *InstancesError) Error() string {
	return fmt.Sprintf("setting Instances is %d, above %d: give the number of nodes before this tier; each node's "+
		"part of quotas and of the budget of servers in slow start goes by it", e.Instances, MaxInstances)
}

// IncompleteError is a difference in form between a configuration and the one that it replaces.
type IncompleteError struct {
	Key     string // with the keys around it, "settings.Classes[0].Name"
	Problem string
}

func (e *IncompleteError) Error() string { return e.Key + " " + e.Problem }
