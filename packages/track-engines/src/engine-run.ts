/** The time for which a call occupied a slot of an engine at usual speed, milliseconds. */
export type EngineRun = readonly [server: string, service: string, ms: number];
