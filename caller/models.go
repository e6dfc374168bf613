package caller

import "net/http"

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

// models lists the declared models and their adapters.
func (s *Server) models(w http.ResponseWriter, r *http.Request) {
	var e *exchange
	var err error
	if e, err = s.begin(w, r); err != nil {
		e.fail(err)
		return
	}
	list := modelList{Object: "list", Data: []modelItem{}}
	for _, model := range e.active.Models {
		item := modelItem{ID: model.Name, Object: "model", Created: e.active.At.Unix(), OwnedBy: "cowslipproxy"}
		list.Data = append(list.Data, item)
		for _, adapter := range model.Adapters {
			item.ID = model.Name + ":" + adapter
			list.Data = append(list.Data, item)
		}
	}
	writeJSON(w, http.StatusOK, list)
}
