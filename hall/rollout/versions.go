package rollout

// NewSelection returns a selection of the given version only, nil for no restriction, that
// excludes a version, empty for none.
func NewSelection(only *string, excluded string) Selection {
	return Selection{only: only, excluded: excluded}
}
