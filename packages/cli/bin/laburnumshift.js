#!/usr/bin/env node
import { runCli } from '@laburnumshift/cli';

process.exitCode = await runCli(process.argv.slice(2));
