/**
 * The rules of the protocol for stored jobs, each of which can be left out. Without any of them the model must find a broken rule of
 * the platform (`mutations.ts`).
 */
/** Rules that are in force. */
export interface ProtocolRules {
  /** A caller hears that its job is accepted after the acceptance is stored. */
  readonly confirmAfterWrite: boolean
  /** A task starts after its job's acceptance is stored. */
  readonly startAfterWrite: boolean
  /** A new owner reads the shard's log. */
  readonly readOnTakeover: boolean
  /** The log is read after the shard's record was written. */
  readonly readAfterClaim: boolean
  /** Each write requires that the shard's record still has the writer's token. */
  readonly conditionalWrites: boolean
  /** An owner whose write met a conflict steps down. */
  readonly heedConflicts: boolean
  /** A write whose reply is lost is settled by reading. */
  readonly settleLostReplies: boolean
  /** A cancel is confirmed after it is stored. */
  readonly confirmCancelAfterWrite: boolean
  /** An end as done is acknowledged to its endpoint after it is stored. */
  readonly storeDoneBeforeAcknowledging: boolean
  /** An end as failed is acknowledged to its endpoint after it is stored. */
  readonly storeFailedBeforeAcknowledging: boolean
  /** A new owner acknowledges ends after it has settled the shard. */
  readonly settleBeforeAcknowledging: boolean
  /** A job is shown as completed after its end is stored and the shard is settled. */
  readonly showAfterWrite: boolean
  /** Jobs of earlier owners start after each endpoint has answered under the token or was outwaited. */
  readonly askEveryEndpoint: boolean
  /** A shard is settled after the proofs of a predecessor that may live have ended. */
  readonly outwaitPredecessor: boolean
  /** Only answers of endpoints count that were asked for after the predecessor's proofs have ended. */
  readonly askAfterOutwaiting: boolean
  /** A proof counts from when it was given and not from its arrival. */
  readonly proofFromSending: boolean
  /** An owner that has outwaited an endpoint proves again that it owns the shard. */
  readonly proveAfterOutwaiting: boolean
  /** A start order is void after its deadline. */
  readonly startDeadline: boolean
  /** A start order names the endpoint's incarnation. */
  readonly nameIncarnation: boolean
  /** An end is counted once for each run, however often it is listed or recorded. */
  readonly countEndsByRun: boolean
  /** A run that an endpoint does not list any more, and whose end it does not list, has not been done. */
  readonly distrustAbsence: boolean
  /** A task whose start never arrived starts again. */
  readonly repeatLostStarts: boolean
  /** A front passes a decline on when every copy of the job was declined. */
  readonly awaitEveryCopy: boolean
}

export type ProtocolRule = keyof ProtocolRules

/** The protocol with all its rules. */
export const PROTOCOL: ProtocolRules = {
  confirmAfterWrite: true,
  startAfterWrite: true,
  readOnTakeover: true,
  readAfterClaim: true,
  conditionalWrites: true,
  heedConflicts: true,
  settleLostReplies: true,
  confirmCancelAfterWrite: true,
  storeDoneBeforeAcknowledging: true,
  storeFailedBeforeAcknowledging: true,
  settleBeforeAcknowledging: true,
  showAfterWrite: true,
  askEveryEndpoint: true,
  outwaitPredecessor: true,
  askAfterOutwaiting: true,
  proofFromSending: true,
  proveAfterOutwaiting: true,
  startDeadline: true,
  nameIncarnation: true,
  countEndsByRun: true,
  distrustAbsence: true,
  repeatLostStarts: true,
  awaitEveryCopy: true
}

/** @returns the protocol without a rule */
export function without (rule: ProtocolRule): ProtocolRules {
  return { ...PROTOCOL, [rule]: false }
}
