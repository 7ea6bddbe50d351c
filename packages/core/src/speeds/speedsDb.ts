/**
 * State of the speed decision: the speeds that runs showed, by endpoint and by label. Endpoints of one kind share a label, so a new
 * endpoint of a known kind has a figure before it has run anything.
 */
import type { EndpointId, EndpointReport } from '@cranberryyard/protocol'
import type { SpeedEvidence } from './types.js'

/** Runs that the evidence of an endpoint counts for at most; it follows a change of its speed within about as many runs. */
const ENDPOINT_RUNS_MAX = 40
const LABEL_RUNS_MAX = 400

/** Evidence by endpoint and by label. */
export class SpeedsDb {
  private readonly endpoints = new Map<EndpointId, SpeedEvidence>()
  private readonly labels = new Map<string, SpeedEvidence>()
  /** Counts the recorded runs, so that what is derived from them can be kept for a while. */
  recorded = 0

  /** Records the logarithm of the speed that a run showed. */
  record ({ id, labels }: Pick<EndpointReport, 'id' | 'labels'>, logSpeed: number): void {
    this.recorded++
    add(evidenceOf(this.endpoints, id), logSpeed, ENDPOINT_RUNS_MAX)
    for (const label of labels) add(evidenceOf(this.labels, label), logSpeed, LABEL_RUNS_MAX)
  }

  ofEndpoint (id: EndpointId): SpeedEvidence | undefined {
    return this.endpoints.get(id)
  }

  ofLabel (label: string): SpeedEvidence | undefined {
    return this.labels.get(label)
  }

  /** Forgets an endpoint; its next incarnation may be of another kind. */
  forget (id: EndpointId): void {
    this.endpoints.delete(id)
  }
}

function evidenceOf<K> (known: Map<K, SpeedEvidence>, key: K): SpeedEvidence {
  const evidence = known.get(key) ?? { runs: 0, mean: 0, variance: 0 }
  known.set(key, evidence)
  return evidence
}

function add (evidence: SpeedEvidence, logSpeed: number, runsMax: number): void {
  evidence.runs = Math.min(runsMax, evidence.runs + 1)
  const weight = 1 / evidence.runs
  const deviation = logSpeed - evidence.mean
  evidence.mean += weight * deviation
  evidence.variance = (1 - weight) * (evidence.variance + weight * deviation * deviation)
}
