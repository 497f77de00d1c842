package deployment

import (
	// Plug-ins that the settings of the deployment select by name.
	_ "limpethall.dev/kernel/platform/httpjson"
	_ "limpethall.dev/limpet/engine/chat"
)
