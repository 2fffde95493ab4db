import { expect, use } from 'chai';
import { jestSnapshotPlugin } from 'mocha-chai-jest-snapshot';

// Registered in a shared module, so that the root hooks of the plugin are installed once per run.
use(jestSnapshotPlugin());

export { expect };
