/** Work at one backend server, as sent: id of the server, calls whose time is known, and the milliseconds that these still take. */
export type EncodedWork = readonly [server: string, calls: number, ms: number];
