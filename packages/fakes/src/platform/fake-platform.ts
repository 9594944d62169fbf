import type { HostEntry, PlatformObject } from '@laburnumshift/types';
import type { PlatformFaults } from './platform-faults.js';

/** A running fake platform. */
export interface FakePlatform {
  readonly url: string;
  readonly setFaults: (faults: Partial<PlatformFaults>) => void;
  readonly getFaults: () => PlatformFaults;
  /** Replaces the host list; readers see it after the lag. */
  readonly setHosts: (hosts: readonly HostEntry[]) => void;
  readonly setHostLag: (ms: number) => void;
  /**
   * Calls received by type (`read`, `write`, `delete`, `list`, `watch`, `hosts`, `weights`), refused calls included,
   * and answers by status (`status 429`).
   */
  readonly getCounts: () => Readonly<Record<string, number>>;
  readonly resetCounts: () => void;
  /** Reads an object without a call, whatever the faults are. */
  readonly getObject: (kind: string, name: string) => PlatformObject | undefined;
  /** Names of the objects of a kind, without a call. */
  readonly listNames: (kind: string) => readonly string[];
  /** Closes all connections and the port. */
  readonly stop: () => Promise<void>;
}
