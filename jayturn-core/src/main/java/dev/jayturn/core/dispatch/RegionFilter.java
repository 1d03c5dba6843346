package dev.jayturn.core.dispatch;

import dev.jayturn.core.result.ResultCode;

/** Keeps requests in the regions to which their route and their customer are bound. */
public final class RegionFilter implements UpstreamFilter {
    private final Location location;

    public RegionFilter(Location location) {
        this.location = location;
    }

    @Override
    public boolean admits(Dispatcher.Query query, UpstreamLoad upstream) {
        return location.isIn(query.regions(), upstream.heartbeat().dataCentre());
    }

    @Override
    public ResultCode refusal() {
        return ResultCode.REGION_UNAVAILABLE;
    }
}
