/**
 * Numbered result codes, one table for callers and operators. docs/RESULT-CODES.md explains each row
 * and is checked against this table by a test.
 *
 * 0 success; 1xxx refused, nothing ran; 2xxx failed, something ran or may have run; 3xxx lookup; 4xxx operators.
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

/** Whether any task of a submission ran: `no` only when it is known. */
export type Ran = 'no' | 'maybe' | 'yes'

/** A typed error: a numbered code, one sentence, and the field it concerns if any. */
export interface CodedError {
  readonly code: ResultCode
  readonly name: ResultName
  readonly message: string
  readonly field?: string
}

/**
 * Builds a typed error.
 * @param name - row of the table
 * @param message - one sentence for a person
 * @param field - the input field at fault
 * @returns the error
 */
export function codedError (name: ResultName, message: string, field?: string): CodedError {
  const base = { code: RESULT_CODES[name], name, message }
  return field === undefined ? base : { ...base, field }
}

/**
 * Tells whether a code says that nothing ran.
 * @param code - a result code
 * @returns true for refusals
 */
export const isNotRun = (code: ResultCode): boolean => code >= 1000 && code < 2000
