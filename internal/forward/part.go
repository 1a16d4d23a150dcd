package forward

import (
	"strconv"

	"go.uber.org/zap"
)

// This file deals with the parts of prompts that requests share.

// sharedParts returns the ids of the parts of the request's prompt that others may have too: all but the last.
func (q *request) sharedParts() []uint64 {
	if len(q.meta.Parts) < 2 {
		return nil
	}
	list := make([]uint64, len(q.meta.Parts)-1)
	for i := range list {
		list[i] = q.meta.Parts[i].ID
	}
	return list
}

// maxLoggedParts bounds the parts of one log line.
const maxLoggedParts = 16

// originFields returns the log fields for what a request may have in common with others: workspace, route and the
// shared parts of its prompt, in the spelling of the caller.
func originFields(q *request) []zap.Field {
	list := q.sharedParts()
	names := make([]string, min(len(list), maxLoggedParts))
	for i := range names {
		names[i] = strconv.FormatUint(list[i], 16)
	}
	return []zap.Field{zap.String("workspace", q.workspaceName()), zap.String("route", q.route.Name()), zap.Strings("parts", names), zap.Int("shared_parts", len(list))}
}
