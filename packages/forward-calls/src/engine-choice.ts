import type { ServerChoice } from '@laburnumshift/choose-server';

/** The server that a call is sent to, with the expected work there. */
export type EngineChoice = Extract<ServerChoice, { kind: 'server' }>;
