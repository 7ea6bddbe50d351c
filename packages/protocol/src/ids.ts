/**
 * Branded identifiers and the functions that compose and split them. The brand makes the compiler reject an endpoint's
 * id where a customer's is expected; at run time every id is a plain string.
 */

/** A `T` that the compiler keeps apart from other types by the name `B`. */
export type Brand<T, B extends string> = T & { readonly __brand: B }

/** Name of an entry instance, unique in the fleet, from its settings. */
export type InstanceId = Brand<string, 'InstanceId'>
/** One incarnation of an entry instance: `<instance>#<incarnation>`. */
export type HolderId = Brand<string, 'HolderId'>
/** Name of an endpoint, from the platform's instance list. */
export type EndpointId = Brand<string, 'EndpointId'>
/** Name of a customer: lower-case letters, digits and dashes. */
export type CustomerId = Brand<string, 'CustomerId'>
/** Name of a failure domain. */
export type FailureDomain = Brand<string, 'FailureDomain'>
/** Id of a request, chosen by the caller. A resubmission has the same id. */
export type RequestId = Brand<string, 'RequestId'>
/** One accepted submission: `<instance>.<incarnation>.<counter>`, where the instance is the one that holds the answer. */
export type SubmissionId = Brand<string, 'SubmissionId'>
/** One task of a submission: `<submission>/<index>`. */
export type TaskId = Brand<string, 'TaskId'>
/** Unique id of an operator's change, chosen by the sender so that a repeated request is recognised. */
export type ChangeId = Brand<string, 'ChangeId'>

/**
 * Composes the id of one incarnation of an instance.
 * @param instance - the instance's name
 * @param incarnation - start time of the process in milliseconds
 * @returns the holder id
 */
export const holderId = (instance: InstanceId, incarnation: number): HolderId => `${instance}#${incarnation}` as HolderId

/**
 * Composes a task's id.
 * @param submission - the submission that contains the task
 * @param index - position in the job, from 0
 * @returns the task id
 */
export const taskId = (submission: SubmissionId, index: number): TaskId => `${submission}/${index}` as TaskId

/**
 * Extracts the instance that accepted a submission from the submission's id.
 * @param submission - a submission id
 * @returns the instance's name
 */
export const acceptingInstanceOf = (submission: SubmissionId): InstanceId => submission.slice(0, submission.indexOf('.')) as InstanceId
