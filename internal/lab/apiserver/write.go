package apiserver

import (
	"encoding/json"
	"fmt"
	"io"
	"net/http"
)

// maxBody bounds a request's body.
const maxBody = 1 << 20

// mergePatch is the content type of a merge patch.
const mergePatch = "application/merge-patch+json"

// statusField is a field of objects, and the subresource by which it is written.
const statusField = "status"

// serveObject reads or writes one object.
func (s *Server) serveObject(w http.ResponseWriter, r *http.Request, path resourcePath) {
	given, failure := readObject(r)
	if failure != nil {
		writeError(w, failure)
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if r.Method == http.MethodPost {
		s.create(w, path, given)
		return
	}
	present, known := s.stores[path.resource.name].objects[objectKey(path.namespace, path.name)]
	if !known {
		message := fmt.Sprintf("%s %q not found", path.resource.name, path.name)
		writeError(w, &statusError{404, "NotFound", message})
		return
	}
	if r.Method == http.MethodGet {
		writeObject(w, http.StatusOK, present)
		return
	}
	changed, failure := change(r, path, present, given)
	if failure != nil {
		writeError(w, failure)
		return
	}
	writeObject(w, http.StatusOK, s.set(path.resource.name, changed))
}

// readObject reads a request's body; it is empty if there is none.
func readObject(r *http.Request) (Object, *statusError) {
	given := Object{}
	body, err := io.ReadAll(io.LimitReader(r.Body, maxBody))
	if err == nil && len(body) > 0 {
		err = json.Unmarshal(body, &given)
	}
	if err != nil {
		return nil, &statusError{400, "BadRequest", "the body is no JSON"}
	}
	if given == nil {
		given = Object{}
	}
	return given, nil
}

// create creates an object. The mutex is held.
func (s *Server) create(w http.ResponseWriter, path resourcePath, given Object) {
	fields := metadata(given)
	fields["namespace"] = path.namespace
	name := stringField(fields, "name")
	if _, known := s.stores[path.resource.name].objects[objectKey(path.namespace, name)]; known {
		writeError(w, &statusError{409, "AlreadyExists", name + " already exists"})
		return
	}
	writeObject(w, http.StatusCreated, s.set(path.resource.name, given))
}

// change is an object as a request changes it. A request that names another resource version than the present one is a
// conflict.
func change(r *http.Request, path resourcePath, present, given Object) (Object, *statusError) {
	version := stringField(metadata(given), "resourceVersion")
	if version != "" && version != stringField(metadata(present), "resourceVersion") {
		message := "the object has been modified; please apply your changes to the latest version and try again"
		return nil, &statusError{409, "Conflict", message}
	}
	switch r.Method {
	case http.MethodPut:
		return replaced(path, present, given), nil
	case http.MethodPatch:
		if contentType := r.Header.Get("Content-Type"); contentType != mergePatch {
			return nil, &statusError{415, "UnsupportedMediaType", contentType + " is not known here"}
		}
		return patched(path, present, given), nil
	default:
		return nil, &statusError{405, "MethodNotAllowed", r.Method}
	}
}

// replaced is an object after a PUT. Of its metadata only the annotations are replaced; its status is replaced only
// through the subresource if the request names that one, and with the rest otherwise.
func replaced(path resourcePath, present, given Object) Object {
	o := clone(present)
	for field, value := range given {
		isStatus := field == statusField
		viaStatus := path.subresource == statusField || isStatus && path.subresource == ""
		if field != "metadata" && isStatus == viaStatus {
			o[field] = value
		}
	}
	if annotations, ok := metadata(given)["annotations"]; ok {
		metadata(o)["annotations"] = annotations
	}
	return o
}

// patched is an object after a merge patch, which does not change metadata. Through the subresource it changes the
// status alone.
func patched(path resourcePath, present, patch Object) Object {
	if path.subresource == statusField {
		patch = Object{statusField: patch[statusField]}
	}
	delete(patch, "metadata")
	o := clone(present)
	merge(o, patch)
	return o
}
