import { isDeepStrictEqual } from 'node:util';
import type { BackendEntry, StoredObject } from '@laburnumshift/forward-types';
import { RESTORED_STATES, type RestorePolicy } from '@laburnumshift/watch-objects';
import type { FleetDecoder } from './fleet-decoder.js';

/** Time after a restore within which the operator writes again what the copy lacks, milliseconds. */
const REWRITE_MS = 2000;

/**
 * Creates the rules by which a host keeps what it knows when the store is restored from a copy. Versions of the configuration and of
 * weights never go back. What a server says of itself is ordered by the start of its process and the number of its report, and a server
 * that is leaving stays so for the rest of its life.
 */
export function createRestorePolicies(
  decoder: FleetDecoder,
): Readonly<Record<'config' | 'backends' | 'weights' | 'evacuations', RestorePolicy>> {
  const compareVersions =
    (decode: (object: StoredObject) => { readonly version: number } | undefined) =>
    (found: StoredObject, known: StoredObject): boolean => {
      const before = decode(known)?.version;
      const after = decode(found)?.version;
      return before !== undefined && (after === undefined || after < before);
    };
  /** Decodes what a server says of itself, without the marks of hosts. */
  const decodeReport = (object: StoredObject): BackendEntry | undefined => {
    const entry = decoder.decodeBackend({ ...object, status: undefined });
    return entry && { ...entry, orderMark: undefined };
  };
  const isOlderBackend: NonNullable<RestorePolicy['isOlder']> = (found, known, state) => {
    const before = decodeReport(known);
    const after = decodeReport(found);
    if (before === undefined || after === undefined) return false;
    // The store does not change an entry when only the number of the report is new. The marks of the copy are older than the known ones,
    // and a later change brings a mark that was written since.
    const isSame = isDeepStrictEqual({ ...before, reportNumber: 0 }, { ...after, reportNumber: 0 });
    if (isSame && state !== RESTORED_STATES.removed) return state === RESTORED_STATES.listed;
    const [order] = [
      after.bornMs - before.bornMs,
      (after.reportNumber ?? 0) - (before.reportNumber ?? 0),
    ].filter((difference) => difference !== 0);
    if (order !== undefined) return order < 0;
    return state === RESTORED_STATES.removed || (before.isDraining && !after.isDraining);
  };
  return {
    config: {
      isOlder: compareVersions(decoder.decodeConfig),
      keepsMissing: true,
      unconfirmedMs: REWRITE_MS,
    },
    weights: { isOlder: compareVersions(decoder.decodeWeights), keepsMissing: true },
    backends: { isOlder: isOlderBackend },
    // Evacuations of the copy are in force. One that the copy lacks ends later than the removal: see `trackEvacuations`.
    evacuations: {},
  };
}
