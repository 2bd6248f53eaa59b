package bench

const routerOracle = "oracle"

func (w *world) solveOracle(arrivals []*arrival) {}
