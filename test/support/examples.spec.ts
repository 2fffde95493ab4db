import { readFileSync } from 'node:fs';
import { expect } from 'chai';
import { readSettings } from '../../src/process/settings/readSettings.js';
import { checkTicket } from '../../src/version/ticket/checkTicket.js';
import { buildInitialTicket } from './deployment.js';
import { buildExamples } from './exampleDeployments.js';
import { findSettingsFiles } from './settingsFiles.js';

describe('examples', () => {
  for (const { deployment, directory } of buildExamples()) {
    const files = findSettingsFiles(deployment, directory);

    it(`guards against invalid settings of ${deployment.name}`, () => {
      for (const { id } of deployment.entries) {
        const settings = readSettings(files.byDaemon.get(id) ?? '', 'entry');
        expect(settings.isOk(), JSON.stringify(settings)).to.be.true;
      }
      for (const { id, service } of deployment.agents) {
        const settings = readSettings(files.byDaemon.get(id) ?? '', 'agent');
        expect(settings.unwrap().options.service).to.equal(service);
      }
    });

    it(`guards against an invalid or outdated initial ticket of ${deployment.name}`, () => {
      const text = readFileSync(files.ticket, 'utf8');
      expect(checkTicket(text).isOk()).to.be.true;
      expect(JSON.parse(text)).to.deep.equal(buildInitialTicket(deployment));
    });
  }
});
