/** Measurement, fuzzing and the local run. Private to this repository. */
export {}
