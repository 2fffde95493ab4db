import type { GroupPassObserver } from '../../request/admission/types.js';
import type { Logger } from '../logging.js';
import type { Metrics } from '../metrics.js';

/**
 * Creates the observer that shows passes of groups to operators.
 *
 * @param logger - Logger of the gateway
 * @param metrics - Metrics of the gateway
 * @returns Observer that records each pass, and logs when the room of a group becomes low or is back
 */
export function createGroupPassObserver(logger: Logger, metrics: Metrics): GroupPassObserver {
  return {
    onPass: (group, { passMs, forecastMs }) => {
      const name = group.replace(/[^a-zA-Z0-9]/g, '_');
      metrics.recordLatency(`pass_${name}`, passMs);
      metrics.recordLatency(`pass_forecast_${name}`, forecastMs);
      if (passMs > forecastMs) metrics.addCount('passes_over_forecast');
    },
    onRoom: (group, { isLow, room, factor }) => {
      const detail = { group, room, factor: Math.round(factor * 100) / 100 };
      if (isLow) logger.warn(detail, 'room of a group is low');
      else logger.info(detail, 'room of a group is back');
    },
  };
}
