package sched

import (
	"time"

	"github.com/pepperhatch/pepperhatch/internal/answers"
)

// recordAnswered records that the worker has answered a poll or an order, or the question whether
// it has an attempt.
func (wk *workerState) recordAnswered(now time.Time) {
	wk.answers.Answer(now)
	wk.dataCentreAnswers().Answer(now)
}

// recordUnanswered records that an order sent at the given time was given up.
func (wk *workerState) recordUnanswered(sent time.Time) {
	wk.answers.GiveUp(sent)
	if re := wk.dataCentreAnswers(); re.GiveUp(sent) {
		wk.ow.Log.Info("data centre has not answered since an order", "data_centre", wk.DataCentre, "worker", wk.incarnation,
			"age", time.Since(sent), "answered", re.AnsweredAt())
	}
}

// dataCentreAnswers returns the record of the worker's data centre.
func (wk *workerState) dataCentreAnswers() *answers.Record {
	if wk.dataCentre != nil {
		return wk.dataCentre
	}
	re := wk.ow.answers[wk.DataCentre]
	if re == nil {
		re = &answers.Record{}
		wk.ow.answers[wk.DataCentre] = re
	}
	wk.dataCentre = re
	return re
}
