#!/usr/bin/env node
// Runs the command line from its sources, for `npx pimentostall` in a checkout. The VMs run dist/pimentostall.
import { register } from 'tsx/esm/api';

register();
await import('../src/main.ts');
