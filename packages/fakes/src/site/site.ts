import type { HostEntry } from '@laburnumshift/types';
import type { FakeEngine } from '../engine/index.js';
import type { FakeOlderSystem } from '../older-system/index.js';
import type { FakePlatform } from '../platform/index.js';
import type { FakeService } from '../service/index.js';
import type { FakeStore } from '../store/index.js';

/** Running fakes for all backend servers and stores of some pools, with the platform and an older system. */
export interface Site {
  readonly platform: FakePlatform;
  readonly older: FakeOlderSystem;
  readonly engines: ReadonlyMap<string, FakeEngine>;
  readonly stores: ReadonlyMap<string, FakeStore>;
  /** Plain service instances; those of one pool share their counts of runs. */
  readonly services: ReadonlyMap<string, FakeService>;
  /** Address of each fake by the address that was declared. */
  readonly addresses: ReadonlyMap<string, string>;
  /** Sets the nodes of the host list; the fakes are always in it. */
  readonly setNodes: (nodes: readonly HostEntry[]) => void;
  /** Marks a backend server as leaving in the host list. */
  readonly setLeaving: (name: string, leaving: boolean) => void;
  readonly close: () => Promise<void>;
}
