import type { FakeStoreOptions } from './fake-store-options.js';

/** Options of the fake store with their defaults filled in. */
export type StoreSettings = { readonly [K in keyof FakeStoreOptions]-?: NonNullable<FakeStoreOptions[K]> };
