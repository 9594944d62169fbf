import type { EngineLoad } from '@laburnumshift/types';
import type { EngineCounters } from './engine-counters.js';
import type { EngineFaults } from './engine-faults.js';
import type { EngineRunRecord } from './engine-run-record.js';
import type { LoadGroup } from './load-group.js';

/** A running fake engine. */
export interface FakeEngine {
  readonly name: string;
  readonly url: string;
  readonly port: number;
  readonly loadGroup: LoadGroup;
  /** Changes some fault switches; the others stay as they are. */
  readonly setFaults: (patch: Partial<EngineFaults>) => void;
  readonly getFaults: () => EngineFaults;
  readonly getCounters: () => Readonly<EngineCounters>;
  /** Runs in the order in which they began. */
  readonly listRuns: () => readonly EngineRunRecord[];
  /** The load now, without lag. */
  readonly getLoad: () => EngineLoad;
  readonly getBootId: () => string;
  readonly listCached: () => readonly { readonly scope: string; readonly chain: string }[];
  readonly close: () => Promise<void>;
}
