/**
 * Schema of the settings of one entry instance. It is the only definition: types are inferred from it, and
 * docs/SETTINGS.md follows from its names, defaults and descriptions.
 */
import { z } from 'zod'

const durationMs = (fallback: number, text: string) => z.number().int().min(1).max(3_600_000).default(fallback).describe(text)
const port = (text: string) => z.number().int().min(0).max(65535).describe(text)

const tlsSchema = z.strictObject({
  plain: z.boolean().default(false).describe('Serve without TLS; only on a trusted network.'),
  certFile: z.string().default('').describe('PEM certificate chain.'),
  keyFile: z.string().default('').describe('PEM private key.'),
  caFile: z.string().default('').describe('PEM authorities that may sign the other side; required on the peers\' port.')
})

const listenSchema = z.strictObject({
  callerPort: port('TCP port for callers.'),
  operatorPort: port('TCP port for operators.'),
  peerPort: port('TCP port for other entry instances.')
})

const instanceSchema = z.strictObject({
  id: z.string().regex(/^[a-z][a-z0-9-]{0,47}$/).describe('Name of this instance, unique in the fleet.'),
  failureDomain: z.string().regex(/^[a-z][a-z0-9-]{0,47}$/).describe('Failure domain of this instance.'),
  address: z.string().default('127.0.0.1').describe('IP number that the ports are bound to and peers connect to.')
})

const peerSchema = z.strictObject({
  id: z.string().min(1).describe('Name of the peer.'),
  address: z.string().min(1).describe('`ip:port` of the peer\'s peer port, as seen from here.')
})

const platformSchema = z.strictObject({
  address: z.string().default('127.0.0.1:7400').describe('`ip:port` of the platform\'s store and instance list.'),
  requestTimeoutMs: durationMs(2000, 'A store call without an answer after this span has an unknown outcome.'),
  watchWaitMs: durationMs(30_000, 'How long one watch call waits for a change.'),
  listPeriodMs: durationMs(5000, 'Period of reading the platform\'s instance list.'),
  pollPeriodMs: durationMs(30_000, 'Period at which an instance that does not hold its domain\'s watch reads the fleet value.')
})

const limitsSchema = z.strictObject({
  taskLeaseMs: durationMs(3000, 'Lease of a started task; its endpoint ends it when no renewal arrives in this span.'),
  loanMs: durationMs(1400, 'Longest time that permits lent to another instance stay valid without renewal.'),
  loanRenewMs: durationMs(450, 'Period of renewing borrowed permits.'),
  startWindowMs: durationMs(150, 'An endpoint refuses a start that arrives later than this after the decision.'),
  clockSkewMs: durationMs(100, 'Largest difference between wall clocks of two machines.'),
  isolationMs: durationMs(1400, 'An instance not acknowledged by a majority of its domain for this span stops using its share.'),
  reserve: z.number().min(0).max(1).default(0.1).describe('Part of its share that an instance never lends, for the first moments after a cut.')
})

const membershipSchema = z.strictObject({
  heartbeatMs: durationMs(300, 'Period of heartbeats inside the failure domain.'),
  remoteHeartbeatEvery: z.number().int().min(1).max(100).default(3).describe('Every n-th heartbeat also goes to one instance of another domain.'),
  suspectMs: durationMs(3000, 'A member whose heartbeat stood still for this span gets no new work.')
})

const routingSchema = z.strictObject({
  policy: z.enum(['scheduler', 'twoChoices', 'random']).default('scheduler').describe('`scheduler` is the design; the others are baselines for measurement.'),
  startsPerScheduler: z.number().int().min(1).default(6000).describe('Task starts a second that one scheduler is planned for; more schedulers are used above it.'),
  expectedStartsPerSecond: z.number().int().min(1).default(1000).describe('Peak task starts a second of the deployment, summed over the fleet.'),
  burstToleranceMs: z.number().int().min(0).max(3_600_000).default(8000).describe('Time by which a customer may run ahead of its fair part of the slots before its jobs are pushed back.'),
  messageWeight: z.number().min(0).max(1).default(0.5).describe('0 prefers response time, 1 prefers fewer messages.'),
  connectionsPerEndpoint: z.number().int().min(1).max(64).default(16).describe('Largest number of connections to one endpoint.')
})

const deduplicationSchema = z.strictObject({
  windowMs: z.number().int().min(1000).max(86_400_000).default(600_000).describe('Resubmission window: how long a claim on a non-idempotent request is kept.'),
  voteTimeoutMs: durationMs(400, 'A claim without enough votes after this span is undecidable.')
})

const jobsSchema = z.strictObject({
  retentionMs: durationMs(120_000, 'How long an answer can be fetched.'),
  lateGraceFactor: z.number().min(1).max(100).default(4).describe('A late job is given up after its answer time multiplied by this factor.'),
  senderTimeoutMs: durationMs(5000, 'A caller that has not sent its whole request after this span is disconnected.')
})

const machineSchema = z.strictObject({
  memoryMb: z.number().int().min(64).max(1_048_576).default(350).describe('Memory of the machine in MB; the budgets of connections are derived from it.'),
  maxFds: z.number().int().min(256).max(1_048_576).default(4100).describe('Descriptors that a process may open; the numbers of connections are derived from it.')
})

const shutdownSchema = z.strictObject({
  announceMs: durationMs(1500, 'New requests are still served for this span after the health page has turned.'),
  drainMs: durationMs(20_000, 'Longest wait for requests in flight before the process exits.')
})

const metricsSchema = z.strictObject({
  statsdAddress: z.string().default('').describe('`ip:port` of a statsd server; empty sends none.'),
  flushMs: durationMs(1000, 'Period of sending counters.')
})

const operatorsSchema = z.strictObject({
  teamKeys: z.array(z.strictObject({
    name: z.string().regex(/^[a-z][a-z0-9-]{0,47}$/),
    keyHash: z.string().regex(/^sha256:[0-9a-f]{64}$/)
  })).default([]).describe('Team operators, who may change every contract and endpoint: name and hash of the key.'),
  inForceWaitMs: durationMs(8000, 'How long a change waits to be in force before domains without it are named.')
})

/** Schema of a settings file. */
export const settingsSchema = z.strictObject({
  instance: instanceSchema,
  listen: listenSchema,
  peers: z.array(peerSchema).default([]).describe('Other entry instances known from the start.'),
  callerTls: tlsSchema.prefault({}),
  operatorTls: tlsSchema.prefault({}),
  peerTls: tlsSchema.prefault({}),
  platform: platformSchema.prefault({}),
  limits: limitsSchema.prefault({}),
  membership: membershipSchema.prefault({}),
  routing: routingSchema.prefault({}),
  deduplication: deduplicationSchema.prefault({}),
  jobs: jobsSchema.prefault({}),
  machine: machineSchema.prefault({}),
  shutdown: shutdownSchema.prefault({}),
  metrics: metricsSchema.prefault({}),
  operators: operatorsSchema.prefault({})
})

/** Validated settings with all defaults filled in. */
export type Settings = z.infer<typeof settingsSchema>
