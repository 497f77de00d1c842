package balance

import (
	"github.com/cespare/xxhash/v2"

	"limpethall.dev/kernel/catalog"
)

// PickSplit selects one of the services by weight. The same name always selects
// the same service.
func PickSplit(splits []catalog.Split, name string) string {
	total := 0
	for _, split := range splits {
		total += max(0, split.Weight)
	}
	if total == 0 {
		return ""
	}
	position := int(xxhash.Sum64String(name) % uint64(total))
	for _, split := range splits {
		position -= max(0, split.Weight)
		if position < 0 {
			return split.Service
		}
	}
	return ""
}
