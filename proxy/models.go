package proxy

import (
	"encoding/json"
	"net/http"
	"slices"

	"github.com/savoryshift/savoryshift/errkind"
)

type modelList struct {
	Object string      `json:"object"`
	Data   []modelItem `json:"data"`
}

type modelItem struct {
	ID      string `json:"id"`
	Object  string `json:"object"`
	Created int64  `json:"created"`
	OwnedBy string `json:"owned_by"`
}

// listModels handles GET /v1/models. It lists the model services of the
// organisation and the models that they allow.
func (s *Server) listModels(w *callerResponse, r *request) error {
	var names []string
	for _, service := range r.snapshot.ModelServices(r.organisation) {
		names = append(names, service)
		e, err := r.snapshot.Effective(r.organisation, service, "")
		if err != nil {
			continue
		}
		for _, v := range e.Versions {
			names = append(names, v.Model)
		}
	}
	slices.Sort(names)
	list := modelList{Object: "list", Data: []modelItem{}}
	for _, name := range slices.Compact(names) {
		list.Data = append(list.Data, modelItem{ID: name, Object: "model", OwnedBy: "savoryshift"})
	}
	w.Header().Set("Content-Type", "application/json")
	data, err := json.Marshal(list)
	if err != nil {
		return errkind.Wrap(errkind.Internal, err)
	}
	w.answers = w.writeWhole(r.Context(), r.Method, http.StatusOK, append(data, '\n')) == nil
	return nil
}
