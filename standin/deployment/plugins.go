package deployment

import (
	// The plug-ins that the deployment's settings name.
	_ "limpethall.dev/kernel/platform/httpjson"
	_ "limpethall.dev/limpet/engine/chat"
)
