package direct

import (
	"net/http"
	"strings"
)

// routablePath returns the path of hr's request target, as its caller sent it: without
// the query, and with nothing decoded or cleaned. Routes are matched on these bytes, since
// they are what the backend server gets. It returns false for a target that can't be passed
// on unchanged: CONNECT's and "*" name no path, and a URL must have the authority that the
// request is routed by.
func routablePath(hr *http.Request) (path string, ok bool) {
	target := hr.RequestURI
	if hr.Method == http.MethodConnect {
		return "", false
	}
	if !strings.HasPrefix(target, "/") {
		scheme, rest, found := strings.Cut(target, "://")
		if !found || !strings.EqualFold(scheme, "http") && !strings.EqualFold(scheme, "https") {
			return "", false
		}
		slash := strings.IndexByte(rest, '/')
		if slash <= 0 || rest[:slash] != hr.Host {
			return "", false
		}
		target = rest[slash:]
	}
	path, _, _ = strings.Cut(target, "?")
	return path, true
}
