import type { FakeEngineOptions } from './fake-engine-options.js';

/** Options of the fake engine with their defaults filled in. */
export type EngineSettings = Readonly<Required<Omit<FakeEngineOptions, 'faults' | 'platformUrl'>>> & {
  readonly platformUrl: string | undefined;
};
