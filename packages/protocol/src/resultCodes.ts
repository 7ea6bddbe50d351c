/**
 * The result codes of the APIs for callers and operators, in one table. docs/RESULT-CODES.md explains each code; a test
 * checks it against this table.
 *
 * Ranges: 0 success; 1xxx refused, nothing ran; 2xxx failed, tasks ran or may have run; 3xxx lookup of a submission;
 * 4xxx operators' requests.
 */
export const RESULT_CODES = {
  complete: 0,
  malformedJson: 1001,
  invalidField: 1002,
  bodyTooLarge: 1003,
  unauthorized: 1004,
  jobTooLarge: 1005,
  rateExceeded: 1006,
  queueFull: 1007,
  cannotRun: 1008,
  deadlineUnreachable: 1009,
  duplicateRequest: 1010,
  claimUndecidable: 1011,
  leaving: 1012,
  starting: 1013,
  unknownKind: 1014,
  cancelledBeforeStart: 1015,
  expiredBeforeStart: 1016,
  slowSender: 1017,
  taskFailed: 2001,
  outcomeUnknown: 2002,
  cancelled: 2003,
  schedulerLost: 2004,
  answerTooLate: 2005,
  permitLost: 2006,
  unknownSubmission: 3001,
  stillRunning: 3002,
  notPermitted: 4001,
  revisionConflict: 4002,
  outOfBounds: 4003,
  invalidContract: 4004,
  storeUnavailable: 4005,
  changeUnknown: 4006,
  notYetInForce: 4007,
  lastEndpoint: 4008,
  unknownEndpoint: 4009,
  changeReplayed: 4010,
  invalidName: 4011,
  auditBroken: 4012,
  unknownCustomer: 4013,
  unknownRevision: 4014,
  invalidTransition: 4015
} as const

/** Name of a result code. */
export type ResultName = keyof typeof RESULT_CODES
/** Number of a result code. */
export type ResultCode = typeof RESULT_CODES[ResultName]

/** Whether any task of a submission ran. `no` is used only when this is certain. */
export type Ran = 'no' | 'maybe' | 'yes'

/** An error with a result code, a message of one sentence, and the input field that it concerns, if any. */
export interface CodedError {
  readonly code: ResultCode
  readonly name: ResultName
  readonly message: string
  readonly field?: string
}

/**
 * Builds an error from the name of a result code.
 * @param name - name in `RESULT_CODES`
 * @param message - one sentence for the caller or operator
 * @param field - the invalid input field
 * @returns the error with the code's number
 */
export function codedError (name: ResultName, message: string, field?: string): CodedError {
  const base = { code: RESULT_CODES[name], name, message }
  return field === undefined ? base : { ...base, field }
}

/**
 * Checks whether a result code means that no task ran.
 * @param code - a result code
 * @returns true for the 1xxx codes (refusals)
 */
export const isNotRun = (code: ResultCode): boolean => code >= 1000 && code < 2000
