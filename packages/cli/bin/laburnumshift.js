#!/usr/bin/env node
import { holdSignals } from '@laburnumshift/run-daemon';

// Before the rest is loaded: a signal without a handler ends the process.
const signals = holdSignals();
const { runCli } = await import('@laburnumshift/cli');
// Parts of a daemon whose start or stop failed would keep the process alive.
process.exit(await runCli(process.argv.slice(2), {}, signals));
