import type { Agent } from 'node:http';
import type { EngineLoad } from '@laburnumshift/types';
import type { FakeServer } from '../store/fake-server.js';
import type { EngineBoot } from './engine-boot.js';
import type { EngineCounters } from './engine-counters.js';
import type { EngineFaults } from './engine-faults.js';
import type { EngineRunRecord } from './engine-run-record.js';
import type { EngineSettings } from './engine-settings.js';

/** State of the fake engine that its handlers share. */
export interface EngineState {
  readonly settings: EngineSettings;
  readonly server: FakeServer;
  readonly counters: EngineCounters;
  readonly runRecords: EngineRunRecord[];
  /** Connections to stores. */
  readonly agent: Agent;
  /** Order ids that were accepted. */
  readonly orders: Set<string>;
  readonly setFaults: (patch: Partial<EngineFaults>) => void;
  /** Cuts everything; the engine comes back with a new boot id and an empty cache. */
  readonly failEngine: () => void;
  faults: EngineFaults;
  boot: EngineBoot;
  model: string;
  weightVersion: string;
  adapters: readonly string[];
  role: string;
  loading: boolean;
  lastFencing: number;
  /** Orders are carried out one after the other. */
  orderTail: Promise<void>;
  lastLoad: EngineLoad | undefined;
}
