import { Cli } from 'clipanion';
import { MeasureCommand } from './measure-command.js';

const cli = new Cli({ binaryName: 'measure', binaryLabel: 'laburnumshift measurements' });
cli.register(MeasureCommand);
await cli.runExit(process.argv.slice(2));
