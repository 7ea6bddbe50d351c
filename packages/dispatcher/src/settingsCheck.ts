/**
 * Checks the settings that refer to files: unless a port is plain, its certificate and key files must exist, and for
 * mutual TLS between peers the CA file too. The schema checks the form of the settings and does not access the disk.
 */
import { existsSync } from 'node:fs'
import { Result } from 'true-myth'
import type { Settings, TomlFault } from '@cranberryyard/protocol'

const TLS_SECTIONS = ['callerTls', 'operatorTls', 'peerTls'] as const

/**
 * Checks that the TLS files named in the settings exist.
 * @param settings - settings that match the schema
 * @returns the settings unchanged, or every fault found
 */
export function checkFiles (settings: Settings): Result<Settings, readonly TomlFault[]> {
  const faults = TLS_SECTIONS.flatMap(section => faultsOf(section, settings[section]))
  return faults.length === 0 ? Result.ok(settings) : Result.err(faults)
}

function faultsOf (section: typeof TLS_SECTIONS[number], tls: Settings['callerTls']): TomlFault[] {
  if (tls.plain) return []
  const needed = section === 'peerTls' ? ['certFile', 'keyFile', 'caFile'] as const : ['certFile', 'keyFile'] as const
  return needed
    .filter(key => tls[key] === '' || !existsSync(tls[key]))
    .map(key => ({ key: `${section}.${key}`, line: 0, message: tls[key] === '' ? 'required unless plain = true' : `no such file: ${tls[key]}` }))
}
