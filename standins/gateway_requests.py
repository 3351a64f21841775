"""Requests in the platform's dialect, as tests of the gateway send them."""

GET = """GET /x/1?q=%2f HTTP/1.1
Host: a.example
Attempt-Id: call-1
Deadline-Ms: 3000
Authorization: Bearer good
Prompt-Prefix: aa:40,bb:100
X-Other: kept
"""
ONCE = GET.replace('/x/', '/once/')
STREAM = GET.replace('/x/', '/stream/')
FRAGILE = GET.replace('/x/', '/fragile/')
SHORT = GET.replace('/x/', '/short/')
