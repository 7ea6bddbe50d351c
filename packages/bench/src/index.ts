/** This package holds the measurements, the fuzzers and the local run. It is private to this repository and exports nothing. */
export {}
