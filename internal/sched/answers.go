package sched

import "time"

// A poll that shows whether a worker is lost takes up to 2.6 s, and a task placed on a lost worker
// starts elsewhere only once the leases there have lapsed. An order is given up much sooner. So
// tasks go elsewhere, as far as there is capacity, from the first order that is given up while
// nothing else from the same worker is answered. The same holds for a data centre, as each of its
// workers would otherwise take tasks until an order to it is given up.

// answerRecord has the time of the last answer, and when the last order that was given up had been
// sent. The zero value is ready to use.
type answerRecord struct {
	answeredAt, unansweredSent time.Time
}

// missing reports whether nothing was answered since an order that was given up.
func (ar *answerRecord) missing() bool { return ar.unansweredSent.After(ar.answeredAt) }

// recordAnswered records that the worker has answered a poll or an order, or the question whether
// it has an attempt.
func (wk *workerState) recordAnswered(now time.Time) {
	wk.answers.answeredAt = now
	wk.dataCentreAnswers().answeredAt = now
}

// recordUnanswered records that an order sent at the given time was given up.
func (wk *workerState) recordUnanswered(sent time.Time) {
	if sent.After(wk.answers.unansweredSent) {
		wk.answers.unansweredSent = sent
	}
	ar := wk.dataCentreAnswers()
	known := ar.missing()
	if sent.After(ar.unansweredSent) {
		ar.unansweredSent = sent
	}
	if !known && ar.missing() {
		wk.ow.Log.Info("data centre has not answered since an order", "data_centre", wk.DataCentre, "worker", wk.incarnation,
			"age", time.Since(sent), "answered", ar.answeredAt)
	}
}

// dataCentreAnswers returns the record of the worker's data centre.
func (wk *workerState) dataCentreAnswers() *answerRecord {
	if wk.dataCentre != nil {
		return wk.dataCentre
	}
	ar := wk.ow.answers[wk.DataCentre]
	if ar == nil {
		ar = &answerRecord{}
		wk.ow.answers[wk.DataCentre] = ar
	}
	wk.dataCentre = ar
	return ar
}
