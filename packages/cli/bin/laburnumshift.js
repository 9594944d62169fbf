#!/usr/bin/env node
import { runCli } from '@laburnumshift/cli';

// Parts of a daemon whose start or stop failed would keep the process alive.
process.exit(await runCli(process.argv.slice(2)));
