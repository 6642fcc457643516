"""News of endpoints that this VM does not know yet.

A VM that starts may hear of them from its neighbours before it has read their records.
"""

from collections import OrderedDict

from bamboovale.fleet.messages import EndpointLimit, LeavingEndpoint

EndpointNews = EndpointLimit | LeavingEndpoint

MAX_NEWS = 256
"""News kept; the oldest may be of endpoints that are gone."""


class EarlyNews:
    """The last news of each kind by endpoint, until its record is known."""

    def __init__(self) -> None:
        self._news_by_key: OrderedDict[tuple[type, str], EndpointNews] = OrderedDict()

    def hold(self, news: EndpointNews) -> None:
        """Keep news of an unknown endpoint."""
        key = (type(news), news.endpoint_id)
        known = self._news_by_key.pop(key, None)
        self._news_by_key[key] = _newer(known, news)
        if len(self._news_by_key) > MAX_NEWS:
            self._news_by_key.popitem(last=False)

    def take(self, endpoint_id: str) -> list[EndpointNews]:
        """Return and drop the news of an endpoint that is known now."""
        kinds = (EndpointLimit, LeavingEndpoint)
        found = [self._news_by_key.pop((kind, endpoint_id), None) for kind in kinds]
        return [news for news in found if news is not None]


def _newer(known: EndpointNews | None, news: EndpointNews) -> EndpointNews:
    if isinstance(known, EndpointLimit) and isinstance(news, EndpointLimit):
        return max(known, news, key=lambda limit: limit.number)
    return news
