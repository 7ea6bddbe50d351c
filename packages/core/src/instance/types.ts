/**
 * Inputs and effects of an entry instance. The shell around core (sockets, timers, platform client) turns outside
 * events into inputs and carries out the effects; tests do the same in memory. Core itself depends on these types
 * alone, not on the shell.
 */
import type {
  Answer,
  ChangeId,
  CodedError,
  Contract,
  CustomerId,
  EndpointId,
  EndpointInfo,
  EndpointOrder,
  FailureDomain,
  Fleet,
  HolderId,
  InstanceId,
  JobSpec,
  PeerMessage,
  Ran,

  Settings,
  StartOutcome,
  StartRequest,
  SubmissionId,
  TaskId
} from '@cranberryyard/protocol'

/** The sections of the settings that the deciders read. */
export type CoreConfig = Pick<Settings, 'limits' | 'membership' | 'platform' | 'routing' | 'deduplication' | 'jobs' | 'operators'>

/** Identity of this instance. `holder` names this incarnation as an owner of leases, shares and claims. */
export interface Self {
  readonly instance: InstanceId
  readonly incarnation: number
  readonly holder: HolderId
  readonly failureDomain: FailureDomain
  readonly address: string
}

/** Peer address of another entry instance, from the settings or the platform's instance list. */
export interface PeerAddress {
  readonly instance: InstanceId
  readonly address: string
}

/** An operator's change as received, before any check. */
export type Change =
  | { readonly type: 'contract', readonly contract: Contract, readonly expectedRevision: number }
  | { readonly type: 'endpoint', readonly endpoint: EndpointId, readonly order: EndpointOrder, readonly force: boolean }

/** A change with its id, the hash of its sender's key and the sender's reason. */
export interface ChangeRequest {
  readonly changeId: ChangeId
  readonly keyHash: string
  readonly reason: string
  readonly change: Change
}

/** Result of a compare-and-swap call to the store; with `unknown` the write may have taken effect. */
export type CasResult =
  | { readonly type: 'written', readonly revision: number }
  | { readonly type: 'conflict' }
  | { readonly type: 'unavailable' }
  | { readonly type: 'unknown' }

/** An event that the shell reports to core. `callId` identifies the caller's or operator's open request. */
export type Input =
  | { readonly type: 'tick' }
  | { readonly type: 'submit', readonly callId: string, readonly keyHash: string, readonly job: JobSpec }
  | { readonly type: 'fetch', readonly callId: string, readonly keyHash: string, readonly submissionId: SubmissionId }
  | { readonly type: 'cancel', readonly callId: string, readonly keyHash: string, readonly submissionId: SubmissionId }
  | { readonly type: 'peer', readonly from: InstanceId, readonly message: PeerMessage }
  | { readonly type: 'sendFailed', readonly to: InstanceId, readonly message: PeerMessage }
  | { readonly type: 'linkDown', readonly peer: InstanceId }
  | { readonly type: 'startOutcome', readonly taskId: TaskId, readonly endpoint: EndpointId, readonly outcome: StartOutcome }
  | { readonly type: 'renewOutcome', readonly endpoint: EndpointId, readonly tasks: readonly TaskId[], readonly renewed: boolean }
  | { readonly type: 'probeOutcome', readonly endpoint: EndpointId, readonly healthy: boolean }
  | { readonly type: 'storeUnchanged' }
  | { readonly type: 'storeValue', readonly source: 'read' | 'watch', readonly revision: number, readonly fleet: Fleet }
  | { readonly type: 'storeFailed', readonly operation: 'read' | 'watch' }
  | { readonly type: 'casOutcome', readonly attempt: number, readonly result: CasResult }
  | { readonly type: 'archiveOutcome', readonly through: number, readonly ok: boolean }
  | { readonly type: 'instanceList', readonly endpoints: readonly EndpointInfo[], readonly peers: readonly PeerAddress[] }
  | { readonly type: 'peers', readonly peers: readonly PeerAddress[] }
  | { readonly type: 'change', readonly callId: string, readonly request: ChangeRequest }
  | { readonly type: 'leave' }

/** Result of a change request. */
export type ChangeResult =
  | { readonly type: 'accepted', readonly version: number, readonly revision: number }
  | { readonly type: 'rejected', readonly error: CodedError }

/** Timeliness of a request's answer, counted by customer and kind. */
export type Timeliness = 'onTime' | 'late' | 'notAnswered'

/** An action that core asks the shell to carry out. */
export type Effect =
  | { readonly type: 'accepted', readonly callId: string, readonly submissionId: SubmissionId }
  | { readonly type: 'refused', readonly callId: string, readonly error: CodedError, readonly ran: Ran }
  | { readonly type: 'answer', readonly callId: string, readonly answer: Answer }
  | { readonly type: 'pending', readonly callId: string, readonly submissionId: SubmissionId }
  | { readonly type: 'send', readonly to: InstanceId, readonly address: string, readonly message: PeerMessage }
  | { readonly type: 'start', readonly endpoint: EndpointId, readonly address: string, readonly request: StartRequest }
  | { readonly type: 'renew', readonly endpoint: EndpointId, readonly address: string, readonly tasks: readonly TaskId[], readonly notAfter: number }
  | { readonly type: 'stop', readonly endpoint: EndpointId, readonly address: string, readonly tasks: readonly TaskId[], readonly notAfter: number }
  | { readonly type: 'probe', readonly endpoint: EndpointId, readonly address: string }
  | { readonly type: 'storeRead' }
  | { readonly type: 'storeWatch', readonly afterRevision: number }
  | { readonly type: 'storeCas', readonly attempt: number, readonly expectedRevision: number, readonly fleet: Fleet }
  | { readonly type: 'storeArchive', readonly through: number, readonly key: string, readonly value: string }
  | { readonly type: 'changeResult', readonly callId: string, readonly result: ChangeResult }
  | { readonly type: 'state', readonly name: 'serving' | 'leaving' | 'drained' }
  | { readonly type: 'log', readonly event: string, readonly fields: Readonly<Record<string, string | number | boolean>> }

/** Numbers of requests of one customer and kind, by timeliness. */
export interface TimelinessCount {
  readonly customer: CustomerId
  readonly kind: string
  readonly onTime: number
  readonly late: number
  readonly notAnswered: number
}
