#!/usr/bin/env node
import {main} from '../dist/src/main.js';

await main(process.argv);
